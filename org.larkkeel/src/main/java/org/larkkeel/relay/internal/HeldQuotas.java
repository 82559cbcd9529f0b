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
 * What this node holds of quotas, from the first event on, as only events carry the time.
 *
 * <p>Not safe for use by several threads.
 */
final class HeldQuotas {
  private final QuotaTolerance tolerance;
  private int nodes;

  /** Null until time is known. */
  private QuotaHolder holder;

  HeldQuotas(QuotaTolerance tolerance, int nodes) {
    this.tolerance = tolerance;
    this.nodes = nodes;
  }

  /** The holder, which begins now if it has not. */
  QuotaHolder at(long at) {
    if (holder == null) {
      holder = new QuotaHolder(tolerance, at, at);
      holder.nodes(at, nodes);
    }
    return holder;
  }

  /** The holder, which has begun. */
  QuotaHolder begun() {
    return holder;
  }

  /** Whether anything was held yet. */
  boolean hasBegun() {
    return holder != null;
  }

  /** Sets how many nodes share the quotas. */
  void nodes(long at, int count) {
    nodes = count;
    if (holder != null) {
      holder.nodes(at, count);
    }
  }

  /** As {@link QuotaHolder#reserve}. */
  boolean reserve(long at, QuotaKey key, TokenLimit limit, long tokens) {
    return at(at).reserve(at, key, limit, tokens);
  }

  /** As {@link QuotaHolder#spend}. */
  void spend(QuotaKey key, long tokens) {
    holder.spend(key, tokens);
  }

  /** As {@link QuotaHolder#refillsAt}. */
  long refillsAt(QuotaKey key) {
    return holder == null ? Long.MIN_VALUE : holder.refillsAt(key);
  }

  /** As {@link QuotaHolder#forget}. */
  void forget(QuotaKey key) {
    if (holder != null) {
      holder.forget(key);
    }
  }
}
