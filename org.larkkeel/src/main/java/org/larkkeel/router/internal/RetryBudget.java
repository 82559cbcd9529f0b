/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

import java.util.SplittableRandom;
import org.larkkeel.router.RetryPolicy;

/**
 * Whether and after what delay a failed attempt may be followed by another.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class RetryBudget {
  private static final int MAX_DOUBLINGS = 16;

  private final RetryPolicy policy;
  private double saved;

  /**
   * Creates a full budget.
   *
   * @param policy the policy
   */
  public RetryBudget(RetryPolicy policy) {
    this.policy = policy;
    this.saved =
        switch (policy) {
          case RetryPolicy.Blind blind -> 0;
          case RetryPolicy.Budgeted budgeted -> budgeted.burst();
        };
  }

  /** A first attempt earns a share of a retry. */
  public void earn() {
    if (policy instanceof RetryPolicy.Budgeted budgeted) {
      saved = Math.min(budgeted.burst(), saved + budgeted.share());
    }
  }

  /**
   * Takes a retry from the budget.
   *
   * @return true if it may be made
   */
  public boolean spend() {
    if (policy instanceof RetryPolicy.Blind) {
      return true;
    }
    if (saved < 1) {
      return false;
    }
    saved--;
    return true;
  }

  /**
   * The delay before a retry.
   *
   * @param retry 1 for the first
   * @param random the source of the jitter
   * @return nanoseconds, between half and all of the delay that doubles with each retry
   */
  public long delay(int retry, SplittableRandom random) {
    return switch (policy) {
      case RetryPolicy.Blind blind -> 0;
      case RetryPolicy.Budgeted budgeted -> {
        int doublings = Math.min(retry - 1, MAX_DOUBLINGS);
        long full = Math.min(budgeted.maxNanos(), budgeted.baseNanos() << doublings);
        yield full / 2 + random.nextLong(full / 2 + 1);
      }
    };
  }
}
