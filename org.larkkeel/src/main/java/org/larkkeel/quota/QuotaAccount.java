/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.quota;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.OptionalLong;
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

  /**
   * The age up to which the tokens left at the coordinator are used to refuse calls immediately.
   */
  private static final long MAX_LEFT_AGE_NANOS = 50_000_000L;

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

  /** The waiting calls, in the order of their ranks, then of their arrival. */
  final List<Waiting> waiting = new ArrayList<>();

  /** The tokens that the most urgent rank needed when the open request was made. */
  private long urgentRequested;

  /**
   * Whether the last grant lacked tokens for the most urgent rank. If it did not, its wait is that
   * of the other ranks only.
   */
  private boolean lacksUrgent;

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

  /** Adds a waiting call behind those of its rank; its tokens are requested at once if urgent. */
  void add(Waiting call) {
    int i = waiting.size();
    while (i > 0 && waiting.get(i - 1).rank().order() > call.rank().order()) {
      i--;
    }
    waiting.add(i, call);
    if (!isWaitKnownFor(call.rank())) {
      requestFrom = Long.MIN_VALUE;
    }
  }

  /** Returns whether the wait of the last grant also applies to a rank. */
  boolean isWaitKnownFor(QuotaRank rank) {
    return !rank.isUrgent() || lacksUrgent;
  }

  /**
   * Returns the wait with which a call is refused at once because of the coordinator's last answer;
   * empty if that is too old, leaves enough tokens, or names a wait that the call can spend.
   */
  OptionalLong knownWait(long at, long tokens, long maxWaitNanos, QuotaRank rank) {
    long age = at - coordinatorLeftAt;
    boolean refused =
        age < MAX_LEFT_AGE_NANOS
            && tokens > coordinatorLeft
            && waitNanos - age > maxWaitNanos
            && isWaitKnownFor(rank);
    return refused ? OptionalLong.of(waitNanos - age) : OptionalLong.empty();
  }

  /** Returns the demand of a request that is made now, with the part of the most urgent rank. */
  QuotaRequest.Demand requested(QuotaRequest.Demand demand) {
    long urgent =
        waiting.stream().filter(w -> w.rank().isUrgent()).mapToLong(Waiting::tokens).sum();
    long debt = (long) Math.ceil(Math.max(0, -held));
    QuotaRequest.Demand complete = urgent == 0 ? demand : demand.withUrgent(urgent + debt);
    urgentRequested = complete.urgent();
    return complete;
  }

  /** Applies a grant and decides about the waiting calls. */
  void granted(
      long at, QuotaGrant.Share share, ImmutableList.Builder<QuotaHolder.Outcome> outcomes) {
    held += share.tokens();
    coordinatorLeft = share.left();
    coordinatorLeftAt = at;
    waitNanos = share.waitNanos();
    lacksUrgent = share.tokens() < urgentRequested;
    requestFrom = at + share.waitNanos();
    decideWaitingCalls(at, outcomes);
    if (waiting.stream().anyMatch(w -> !isWaitKnownFor(w.rank()))) {
      requestFrom = Long.MIN_VALUE;
    }
  }

  /**
   * Grants the calls for which there are enough tokens, and refuses those that can not wait for the
   * refill.
   */
  private void decideWaitingCalls(long at, ImmutableList.Builder<QuotaHolder.Outcome> outcomes) {
    for (Iterator<Waiting> i = waiting.iterator(); i.hasNext(); ) {
      Waiting w = i.next();
      if (held >= w.tokens()) {
        outcomes.add(new QuotaHolder.Outcome(w.call(), grant(w.tokens())));
        i.remove();
      } else if (waitNanos > 0 && at + waitNanos > w.deadline() && isWaitKnownFor(w.rank())) {
        outcomes.add(
            new QuotaHolder.Outcome(w.call(), new QuotaHolder.Decision.Refused(waitNanos)));
        i.remove();
      }
    }
  }

  /** Takes held tokens for a call. */
  QuotaHolder.Decision grant(long tokens) {
    held -= tokens;
    return new QuotaHolder.Decision.Granted((long) held);
  }

  /** A call that waits for tokens. */
  record Waiting(RequestId call, long tokens, long deadline, QuotaRank rank) {}
}
