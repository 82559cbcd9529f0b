/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router;

/**
 * When a failed attempt is followed by another.
 *
 * <p>What may be repeated at all does not depend on it. Immutable and safe for use by several
 * threads.
 *
 * @since 0.1
 */
public sealed interface RetryPolicy {
  /** At once, anywhere that fits, while attempts are left. */
  record Blind() implements RetryPolicy {}

  /**
   * After a delay that doubles, with jitter, on another upstream first, as long as the budget
   * lasts.
   *
   * @param share retries earned by each first attempt
   * @param burst the most retries that can be saved up
   * @param baseNanos the first delay
   * @param maxNanos the longest delay
   */
  record Budgeted(double share, double burst, long baseNanos, long maxNanos)
      implements RetryPolicy {}
}
