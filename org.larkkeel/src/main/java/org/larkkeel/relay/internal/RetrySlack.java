/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The retries of a service that no first attempts pay for: a burst, and a steady rate at which it
 * is replenished.
 *
 * <p>Invariants: the tokens left and those of retries that may not have arrived yet are at most the
 * burst, so that the arrivals of any window are at most the burst and what the rate yields in it.
 * It starts empty, so that this holds for all lives of a node together. Not thread-safe.
 */
final class RetrySlack {
  /** The share of a node's part of the slack that may be used at once. */
  private static final double BURST_SHARE = 0.5;

  /** The tokens of a retry that ended without a sign of its upstream. */
  private record Abandoned(long until, double tokens) {}

  private final long windowNanos;
  private final Deque<Abandoned> abandoned = new ArrayDeque<>();
  private double share;
  private double tokens;
  private double inFlight;
  private long updatedAt;

  RetrySlack(long windowNanos, long startedAt, double share) {
    this.windowNanos = windowNanos;
    this.share = share;
    this.updatedAt = startedAt;
  }

  /** Sets the part of the service's slack that this node may use in a window. */
  void setShare(long at, double newShare) {
    update(at);
    share = newShare;
    tokens = Math.min(tokens, capacity());
  }

  /** Returns the tokens left. */
  double left(long at) {
    update(at);
    return tokens;
  }

  /** Returns the part of the service's slack that this node may use in a window. */
  double share() {
    return share;
  }

  /** Takes some of the tokens left for a retry. */
  void take(double taken) {
    tokens -= taken;
    inFlight += taken;
  }

  /** Returns the tokens of a retry that reached no upstream. */
  void release(double taken) {
    inFlight -= taken;
    tokens = Math.min(capacity(), tokens + taken);
  }

  /** Drops the tokens of a retry that an upstream has received. */
  void received(long at, double taken) {
    update(at);
    inFlight -= taken;
  }

  /** Drops the tokens of a retry after the time in which its upstream may still receive it. */
  void abandon(long at, double taken) {
    if (taken > 0) {
      abandoned.add(new Abandoned(at + windowNanos, taken));
    }
  }

  private void update(long at) {
    while (!abandoned.isEmpty() && abandoned.peek().until() <= at) {
      inFlight -= abandoned.remove().tokens();
    }
    if (at > updatedAt) {
      double refill = (1 - BURST_SHARE) * share * (at - updatedAt) / windowNanos;
      tokens = Math.min(capacity(), tokens + refill);
      updatedAt = at;
    }
  }

  private double capacity() {
    return Math.max(0, BURST_SHARE * share - inFlight);
  }
}
