/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Exponential backoff with full jitter: the n-th delay, counted from 0, is uniform between 0 and
 * {@code min(maxDelay, initialDelay * 2^n)}. Not thread-safe.
 *
 * @since 0.1
 */
public final class Backoff {
  private static final int MAX_SHIFT = 30;

  private final long initialDelayNanos;
  private final long maxDelayNanos;
  private final RandomGenerator random;
  private int failures;

  /**
   * Creates a backoff without failures.
   *
   * @param initialDelay the upper bound of the first delay, positive
   * @param maxDelay the upper bound of all delays
   * @param random the source of jitter
   */
  public Backoff(Duration initialDelay, Duration maxDelay, RandomGenerator random) {
    this.initialDelayNanos = initialDelay.toNanos();
    this.maxDelayNanos = maxDelay.toNanos();
    this.random = random;
  }

  /**
   * Records a failure.
   *
   * @return the delay before the next attempt
   */
  public Duration nextDelay() {
    long bound = Math.min(maxDelayNanos, initialDelayNanos << Math.min(failures, MAX_SHIFT));
    if (bound <= 0) {
      bound = maxDelayNanos;
    }
    failures++;
    return Duration.ofNanos(random.nextLong(bound + 1));
  }

  /** Resets the failure count, so that the next delay is bounded by the initial one. */
  public void reset() {
    failures = 0;
  }
}
