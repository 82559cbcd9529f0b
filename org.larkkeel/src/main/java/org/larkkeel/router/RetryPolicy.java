/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router;

/**
 * The conditions on the number and the delay of retries.
 *
 * <p>Whether a request may be retried at all, as it may have run, does not depend on the policy.
 * Immutable and safe for use by several threads.
 *
 * @since 0.1
 */
public sealed interface RetryPolicy {
  /** Retries at once, at any upstream with free capacity, while attempts are left. */
  record Immediate() implements RetryPolicy {}

  /**
   * Retries after an exponentially increasing delay with jitter, at another upstream if there is
   * one, while the retry budget lasts.
   *
   * @param share the number of retries that each first attempt adds to the budget
   * @param burst the maximum size of the budget, in retries
   * @param baseNanos the first delay, in nanoseconds
   * @param maxNanos the maximum delay, in nanoseconds
   */
  record Budgeted(double share, double burst, long baseNanos, long maxNanos)
      implements RetryPolicy {}
}
