/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.quota;

import java.util.ArrayList;
import java.util.List;
import org.larkkeel.lib.RequestId;

/**
 * The tokens that a node holds of one quota, and the calls that wait for some of them.
 *
 * <p>Not safe for use by several threads.
 */
final class QuotaAccount {
  /** The time for which the tokens of an unused quota are kept. */
  static final long IDLE_NANOS = 2_000_000_000L;

  /**
   * The time after a failed reservation for which tokens are requested from the coordinator and
   * held; later they are returned.
   */
  static final long DEMAND_NANOS = 250_000_000L;

  final QuotaKey key;
  TokenLimit limit;
  double held;
  double refilledAt;
  long usedAt;
  long requestedAt = Long.MIN_VALUE / 2;

  /**
   * The time at which the tokens for the waiting calls will have refilled; none are requested
   * earlier.
   */
  long requestFrom = Long.MIN_VALUE;

  final List<Waiting> waiting = new ArrayList<>();

  /**
   * The tokens of the last reservation that failed; ignored once {@code demandedAt} is too long
   * ago.
   */
  long demanded;

  long demandedAt = Long.MIN_VALUE / 2;
  long coordinatorLeft;
  long coordinatorLeftAt = Long.MIN_VALUE / 2;
  long waitNanos;

  QuotaAccount(QuotaKey key, double refilledAt) {
    this.key = key;
    this.refilledAt = refilledAt;
  }

  boolean hasUnmetDemand(long at) {
    return at - demandedAt <= DEMAND_NANOS && held < demanded;
  }

  boolean isIdle(long at) {
    return waiting.isEmpty() && at - usedAt > IDLE_NANOS;
  }

  /**
   * Returns whether a request to the coordinator is urgent: calls wait, or the next ones would find
   * no tokens.
   */
  boolean isUrgent(long at) {
    return !waiting.isEmpty() || hasUnmetDemand(at);
  }

  long needed(long at) {
    long debt = (long) Math.ceil(Math.max(0, -held));
    long unmet = hasUnmetDemand(at) ? demanded : 0;
    return debt + unmet + waiting.stream().mapToLong(Waiting::tokens).sum();
  }

  long minUseful(long at) {
    long min = waiting.stream().mapToLong(Waiting::tokens).min().orElse(0);
    return hasUnmetDemand(at) ? demanded : min;
  }

  /** A call that waits for tokens. */
  record Waiting(RequestId call, long tokens, long deadline) {}
}
