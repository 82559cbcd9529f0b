/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

/**
 * The permission for one retry, for which first attempts and the slack of its budget pay in part.
 *
 * <p>Invariants: the parts add up to one; a permit is returned to its budget exactly once. Not
 * thread-safe.
 */
final class RetryPermit {
  private final ServiceRetryBudget budget;
  private final double fromFirsts;
  private final double fromSlack;
  private boolean returned;

  RetryPermit(ServiceRetryBudget budget, double fromFirsts, double fromSlack) {
    this.budget = budget;
    this.fromFirsts = fromFirsts;
    this.fromSlack = fromSlack;
  }

  /** Returns the part that first attempts pay for. */
  double fromFirsts() {
    return fromFirsts;
  }

  /** Returns the part that the slack pays for. */
  double fromSlack() {
    return fromSlack;
  }

  /** Returns the permit of a retry that was not made or reached no upstream. */
  void release() {
    if (!returned) {
      returned = true;
      budget.release(this);
    }
  }

  /** Returns the permit of a retry that an upstream has received; later calls have no effect. */
  void received(long at) {
    if (!returned) {
      returned = true;
      budget.received(at, this);
    }
  }

  /**
   * Returns the permit of a retry that has ended without a sign of its upstream, which may still
   * receive it.
   */
  void abandon(long at) {
    if (!returned) {
      returned = true;
      budget.abandon(at, this);
    }
  }
}
