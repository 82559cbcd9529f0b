/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.Optional;

/**
 * This node's part of the retries that all nodes together may make at one service.
 *
 * <p>An observer compares the retries that arrive in a window, which may begin at any time, with
 * the first attempts of that window or of the one before it, whichever has more. Nodes cannot know
 * which of them has more in total, so each counts the mean of both, and the sum over all nodes
 * holds without communication between them.
 *
 * <p>Invariant: for each window that includes the present, the retries that arrived in it or may
 * yet arrive, less those that the slack pays for, are at most a share of the first attempts counted
 * so far in it and the window before it, divided by two. A retry may arrive at any time until its
 * upstream gives a sign; without one, until a window after its end. Not thread-safe.
 */
final class ServiceRetryBudget {
  private static final long SLOT_NANOS = 100_000_000L;

  /** The time by which a first attempt may be counted later than its caller sent it. */
  private static final long READ_DELAY_NANOS = 1_000_000_000L;

  private final double retryShare;
  private final RetrySlack slack;
  private final int windowSlots;
  private final int delaySlots;

  /** The first attempts of each slot of the last two windows. */
  private final int[] firsts;

  /** The retries by the last slot in which they may have arrived, up to a window ahead. */
  private final double[] arrivals;

  /** All retries, including those that the slack pays for, by the same slots. */
  private final int[] retries;

  private long slot = Long.MIN_VALUE;
  private double inFlight;
  private int retriesInFlight;

  ServiceRetryBudget(double retryShare, long windowNanos, long startedAt, double slackShare) {
    this.retryShare = retryShare;
    this.slack = new RetrySlack(windowNanos, startedAt, slackShare);
    this.windowSlots = (int) Math.max(1, windowNanos / SLOT_NANOS);
    this.delaySlots = (int) Math.min(windowSlots / 2, READ_DELAY_NANOS / SLOT_NANOS);
    this.firsts = new int[2 * windowSlots + 1];
    this.arrivals = new double[2 * windowSlots + 1];
    this.retries = new int[2 * windowSlots + 1];
  }

  /** Sets the part of the service's slack that this node may use in a window. */
  void setSlackShare(long at, double share) {
    slack.setShare(at, share);
  }

  /** Counts a first attempt. */
  void recordFirst(long at) {
    advance(at);
    firsts[index(slot)]++;
  }

  /** Counts a retry if one is allowed. */
  Optional<RetryPermit> tryAcquire(long at) {
    double fromFirsts = Math.clamp(paidRetriesLeft(at), 0, 1);
    double fromSlack = 1 - fromFirsts;
    if (fromSlack > slack.left(at)) {
      return Optional.empty();
    }
    inFlight += fromFirsts;
    retriesInFlight++;
    slack.take(fromSlack);
    return Optional.of(new RetryPermit(this, fromFirsts, fromSlack));
  }

  /** Returns the number of further retries that are allowed now; may be a fraction. */
  double left(long at) {
    return Math.max(0, paidRetriesLeft(at)) + slack.left(at);
  }

  /** Returns the retries of the window that ends now, including those that may yet arrive. */
  int used(long at) {
    advance(at);
    int used = retriesInFlight;
    for (long s = slot - windowSlots + 1; s <= slot + windowSlots; s++) {
      used += retries[index(s)];
    }
    return used;
  }

  /** Returns the retries that this node's part of the budget allows in the window that ends now. */
  double allowed(long at) {
    advance(at);
    return retryShare * firstsSince(slot - windowSlots + 1) + slack.share();
  }

  /** Uncounts a retry that reached no upstream. */
  void release(RetryPermit permit) {
    ended(permit);
    slack.release(permit.fromSlack());
  }

  /** Counts a retry as one that has arrived by now. */
  void received(long at, RetryPermit permit) {
    advance(at);
    ended(permit);
    count(permit, slot);
    slack.received(at, permit.fromSlack());
  }

  /** Counts a retry as one that will have arrived when a window has passed. */
  void abandon(long at, RetryPermit permit) {
    advance(at);
    ended(permit);
    count(permit, slot + windowSlots);
    slack.abandon(at, permit.fromSlack());
  }

  private void ended(RetryPermit permit) {
    inFlight -= permit.fromFirsts();
    retriesInFlight--;
  }

  private void count(RetryPermit permit, long lastSlot) {
    arrivals[index(lastSlot)] += permit.fromFirsts();
    retries[index(lastSlot)]++;
  }

  /** Returns how many further retries the first attempts pay for in every window; may be less. */
  private double paidRetriesLeft(long at) {
    advance(at);
    int first = firstsSince(slot - windowSlots + 1 + delaySlots);
    double used = inFlight;
    for (long s = slot + windowSlots; s >= slot; s--) {
      used += arrivals[index(s)];
    }
    double left = Math.min(paid(first) - used, laterArrivalsLeft());
    for (long begin = slot - 1; begin >= slot - windowSlots; begin--) {
      first += firsts[index(begin - windowSlots + 1 + delaySlots)];
      used += arrivals[index(begin)];
      left = Math.min(left, paid(first) - used);
    }
    return left;
  }

  /**
   * Returns how many further retries the first attempts of the last half window pay for beside
   * those on their way, which may arrive together when half of a window has passed. A single one is
   * not limited: a node may have few first attempts in that time.
   */
  private double laterArrivalsLeft() {
    return retriesInFlight == 0
        ? Double.MAX_VALUE
        : paid(firstsSince(slot - windowSlots / 2)) - inFlight;
  }

  private double paid(int firstAttempts) {
    return retryShare / 2 * firstAttempts;
  }

  private int firstsSince(long from) {
    int sum = 0;
    for (long s = from; s <= slot; s++) {
      sum += firsts[index(s)];
    }
    return sum;
  }

  /** Moves on to the slot of a time, and clears the slots that come into use. */
  private void advance(long at) {
    long next = Math.max(slot, Math.floorDiv(at, SLOT_NANOS));
    if (slot == Long.MIN_VALUE) {
      slot = next;
      return;
    }
    long cleared = Math.max(slot, next - firsts.length);
    while (cleared < next) {
      cleared++;
      firsts[index(cleared)] = 0;
      arrivals[index(cleared + windowSlots)] = 0;
      retries[index(cleared + windowSlots)] = 0;
    }
    slot = next;
  }

  private int index(long s) {
    return (int) Math.floorMod(s, (long) firsts.length);
  }
}
