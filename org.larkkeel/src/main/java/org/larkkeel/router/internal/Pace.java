/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

/**
 * How fast requests leave a queue while others wait.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class Pace {
  private static final double STEP = 0.05;
  private static final double NANOS_PER_SECOND = 1e9;

  private double interval;
  private long lastAt;
  private boolean backlogged;

  /**
   * A request left the queue.
   *
   * @param now the time
   * @param others requests that still wait
   */
  public void left(long now, int others) {
    if (backlogged) {
      double gap = Math.min((double) (now - lastAt), NANOS_PER_SECOND * 10);
      interval = interval == 0 ? gap : interval + STEP * (gap - interval);
    }
    lastAt = now;
    backlogged = others > 0;
  }

  /** The queue became empty, so the next gap tells nothing. */
  public void emptied() {
    backlogged = false;
  }

  /**
   * Predicts a wait.
   *
   * @param ahead requests that go first
   * @return nanoseconds; 0 if nothing is known
   */
  public long wait(int ahead) {
    return (long) (interval * ahead);
  }
}
