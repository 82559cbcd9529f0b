/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Exponential backoff with full jitter: the n-th delay is uniform between 0 and {@code min(longest,
 * first * 2^n)}. Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class Backoff {
  private static final int MAX_SHIFT = 30;

  private final long first;
  private final long longest;
  private final RandomGenerator random;
  private int failures;

  /**
   * Creates a backoff without failures.
   *
   * @param first the bound of the first delay, positive
   * @param longest the bound of all delays
   * @param random the source of jitter
   */
  public Backoff(Duration first, Duration longest, RandomGenerator random) {
    this.first = first.toNanos();
    this.longest = longest.toNanos();
    this.random = random;
  }

  /**
   * Counts a failure.
   *
   * @return how long to wait
   */
  public Duration next() {
    long bound = Math.min(longest, first << Math.min(failures, MAX_SHIFT));
    if (bound <= 0) {
      bound = longest;
    }
    failures++;
    return Duration.ofNanos(random.nextLong(bound + 1));
  }

  /** Forgets the failures. */
  public void reset() {
    failures = 0;
  }
}
