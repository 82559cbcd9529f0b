/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

/**
 * The rate at which requests leave a queue while others wait, as a moving average of the intervals.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class DepartureRate {
  private static final double INTERVAL_SMOOTHING = 0.05;
  private static final double NANOS_PER_SECOND = 1e9;

  private double meanIntervalNanos;
  private long lastAt;
  private boolean backlogged;

  /**
   * Records that a request left the queue.
   *
   * @param now the time
   * @param waiting the number of requests that still wait
   */
  public void recordDeparture(long now, int waiting) {
    if (backlogged) {
      double intervalNanos = Math.min((double) (now - lastAt), NANOS_PER_SECOND * 10);
      meanIntervalNanos =
          meanIntervalNanos == 0
              ? intervalNanos
              : meanIntervalNanos + INTERVAL_SMOOTHING * (intervalNanos - meanIntervalNanos);
    }
    lastAt = now;
    backlogged = waiting > 0;
  }

  /** Records that the queue became empty, so that the next interval is not counted. */
  public void recordEmpty() {
    backlogged = false;
  }

  /**
   * Predicts the waiting time of a request.
   *
   * @param ahead the number of requests that are served first
   * @return nanoseconds; 0 if no interval is known
   */
  public long predictedWaitNanos(int ahead) {
    return (long) (meanIntervalNanos * ahead);
  }
}
