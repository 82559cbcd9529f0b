/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import org.larkkeel.quota.QuotaHolder;
import org.larkkeel.quota.QuotaKey;
import org.larkkeel.quota.QuotaTolerance;
import org.larkkeel.quota.TokenLimit;

/**
 * The quota tokens that this node holds. The holder is created at the first event that needs it, as
 * only events carry the time.
 *
 * <p>Not thread-safe.
 */
final class HeldQuotas {
  private final QuotaTolerance tolerance;
  private int nodes;
  private boolean nodesKnown = true;

  /** Null until an event has carried the time. */
  private QuotaHolder holder;

  HeldQuotas(QuotaTolerance tolerance, int nodes) {
    this.tolerance = tolerance;
    this.nodes = nodes;
  }

  /** Returns the holder; creates it if there is none. */
  QuotaHolder holderAt(long at) {
    if (holder == null) {
      holder = new QuotaHolder(tolerance, at, at);
      holder.nodes(at, nodes);
      holder.nodesKnown(at, nodesKnown);
    }
    return holder;
  }

  /** Returns the holder, which must have been created. */
  QuotaHolder existingHolder() {
    return holder;
  }

  /** Returns whether the holder was created. */
  boolean hasHolder() {
    return holder != null;
  }

  /** Sets the number of nodes that share the quotas. */
  void nodes(long at, int count) {
    nodes = count;
    if (holder != null) {
      holder.nodes(at, count);
    }
  }

  /** Sets whether the list of all nodes has been read, as {@link QuotaHolder#nodesKnown}. */
  void nodesKnown(long at, boolean known) {
    nodesKnown = known;
    if (holder != null) {
      holder.nodesKnown(at, known);
    }
  }

  /** Ensures that tokens are held, as {@link QuotaHolder#ensureHeld}. */
  boolean ensureHeld(long at, QuotaKey key, TokenLimit limit, long tokens) {
    return holderAt(at).ensureHeld(at, key, limit, tokens);
  }

  /** Spends held tokens, as {@link QuotaHolder#spend}. */
  void spend(QuotaKey key, long tokens) {
    holder.spend(key, tokens);
  }

  /**
   * Returns the time of a quota's refill, as {@link QuotaHolder#refillsAt}; {@link Long#MIN_VALUE}
   * before the holder is created.
   */
  long refillsAt(QuotaKey key) {
    return holder == null ? Long.MIN_VALUE : holder.refillsAt(key);
  }

  /** Removes a quota, as {@link QuotaHolder#remove}. */
  void remove(QuotaKey key) {
    if (holder != null) {
      holder.remove(key);
    }
  }
}
