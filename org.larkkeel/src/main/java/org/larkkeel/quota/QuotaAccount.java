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
 * What a node holds of one quota, and who waits for some of it.
 *
 * <p>Not safe for use by several threads.
 */
final class QuotaAccount {
  /** How long tokens are kept of a quota that has no calls here. */
  static final long IDLE_NANOS = 2_000_000_000L;

  /** How long after a request found no tokens some are asked for; after that they go back. */
  static final long WANTED_NANOS = 250_000_000L;

  final QuotaKey key;
  TokenLimit limit;
  double held;
  double refilledAt;
  long usedAt;
  long askedAt = Long.MIN_VALUE / 2;

  /** When what waits will have refilled; it is not asked for before. */
  long askFrom = Long.MIN_VALUE;

  final List<Waiting> waiting = new ArrayList<>();

  /** What a request wanted to reserve last, and when; of no use once that is too long ago. */
  long wanted;

  long wantedAt = Long.MIN_VALUE / 2;
  long left;
  long leftAt = Long.MIN_VALUE / 2;
  long waitNanos;

  QuotaAccount(QuotaKey key, double refilledAt) {
    this.key = key;
    this.refilledAt = refilledAt;
  }

  boolean isWanted(long at) {
    return at - wantedAt <= WANTED_NANOS && held < wanted;
  }

  boolean isIdle(long at) {
    return waiting.isEmpty() && at - usedAt > IDLE_NANOS;
  }

  /** Whether an ask is in haste: calls wait, or the next ones would find no tokens. */
  boolean isUrgent(long at) {
    return !waiting.isEmpty() || isWanted(at);
  }

  long needed(long at) {
    long debt = (long) Math.ceil(Math.max(0, -held));
    long reserved = isWanted(at) ? wanted : 0;
    return debt + reserved + waiting.stream().mapToLong(Waiting::tokens).sum();
  }

  long least(long at) {
    long least = waiting.stream().mapToLong(Waiting::tokens).min().orElse(0);
    return isWanted(at) ? wanted : least;
  }

  /** A call that waits for tokens. */
  record Waiting(RequestId call, long tokens, long until) {}
}
