/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.quota;

/**
 * The tokens of one quota that were granted to its most urgent rank within about the last second,
 * which the coordinator withholds for that rank.
 *
 * <p>The sum decays with a time constant of one second, so that a constant use per second is its
 * own sum, and an urgent rank that stops keeps nothing. Not safe for use by several threads.
 */
final class UrgentUse {
  /** One second, as rates are per second. */
  private static final double DECAY_NANOS = 1e9;

  /**
   * The maximum part of a full quota that is withheld: the calls of the other ranks can always use
   * the other half.
   */
  private static final double MAX_WITHHELD = 0.5;

  private double sum;
  private long sumAt = Long.MIN_VALUE;

  /** Notes tokens that were granted to the most urgent rank. */
  void add(long at, long tokens) {
    if (tokens > 0) {
      sum = sum(at) + tokens;
      sumAt = at;
    }
  }

  /**
   * Returns the tokens that less urgent ranks do not get.
   *
   * @param at the current time
   * @param maxLevel the maximum level of the quota
   */
  long withheld(long at, double maxLevel) {
    return sum == 0 ? 0 : (long) Math.min(sum(at), MAX_WITHHELD * maxLevel);
  }

  private double sum(long at) {
    return sum == 0 ? 0 : sum * StrictMath.exp(-Math.max(0, at - sumAt) / DECAY_NANOS);
  }
}
