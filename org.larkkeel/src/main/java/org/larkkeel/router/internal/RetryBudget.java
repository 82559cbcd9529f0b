/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

import java.util.SplittableRandom;
import org.larkkeel.router.RetryPolicy;

/**
 * The retry budget: limits the retries in proportion to the first attempts and sets their delays.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class RetryBudget {
  private static final int MAX_DOUBLINGS = 16;

  private final RetryPolicy policy;
  private double balance;

  /**
   * Creates a full budget.
   *
   * @param policy the policy
   */
  public RetryBudget(RetryPolicy policy) {
    this.policy = policy;
    this.balance =
        switch (policy) {
          case RetryPolicy.Immediate immediate -> 0;
          case RetryPolicy.Budgeted budgeted -> budgeted.burst();
        };
  }

  /** Adds the share of a retry that a first attempt earns. */
  public void deposit() {
    if (policy instanceof RetryPolicy.Budgeted budgeted) {
      balance = Math.min(budgeted.burst(), balance + budgeted.share());
    }
  }

  /**
   * Withdraws one retry from the budget.
   *
   * @return true if the retry is allowed
   */
  public boolean tryWithdraw() {
    if (policy instanceof RetryPolicy.Immediate) {
      return true;
    }
    if (balance < 1) {
      return false;
    }
    balance--;
    return true;
  }

  /**
   * Returns the delay before a retry.
   *
   * @param retry the number of the retry, 1 for the first
   * @param random the source of the jitter
   * @return nanoseconds, between half and all of a delay that doubles with each retry up to a
   *     maximum
   */
  public long delayNanos(int retry, SplittableRandom random) {
    return switch (policy) {
      case RetryPolicy.Immediate immediate -> 0;
      case RetryPolicy.Budgeted budgeted -> {
        int doublings = Math.min(retry - 1, MAX_DOUBLINGS);
        long maxDelayNanos = Math.min(budgeted.maxNanos(), budgeted.baseNanos() << doublings);
        yield maxDelayNanos / 2 + random.nextLong(maxDelayNanos / 2 + 1);
      }
    };
  }
}
