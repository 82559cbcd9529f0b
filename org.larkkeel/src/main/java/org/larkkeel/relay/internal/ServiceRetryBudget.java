/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.Arrays;

/**
 * This node's part of the retries that all nodes together may make at one service.
 *
 * <p>Counts first attempts and retries per second. The retries of a whole window and the second
 * before it stay below the configured share of the first attempts of that window plus this node's
 * part of the slack, so that the sum over all nodes holds without communication between them. Not
 * thread-safe.
 */
final class ServiceRetryBudget {
  private static final long SECOND = 1_000_000_000L;

  /**
   * The factor by which the share of the first attempts is reduced, as the seconds of the nodes and
   * of an outside observer begin at different times.
   */
  private static final double SAFETY_FACTOR = 0.85;

  private final double retryShare;
  private final int slotCount;
  private final long[] slotSeconds;
  private final int[] firstAttempts;
  private final int[] retries;

  ServiceRetryBudget(double retryShare, long windowNanos) {
    this.retryShare = retryShare;
    this.slotCount = (int) Math.max(1, windowNanos / SECOND) + 1;
    this.slotSeconds = new long[slotCount];
    this.firstAttempts = new int[slotCount];
    this.retries = new int[slotCount];
    Arrays.fill(slotSeconds, Long.MIN_VALUE);
  }

  /** Counts a first attempt. */
  void recordFirst(long at) {
    firstAttempts[slotIndex(at)]++;
  }

  /** Counts a retry if one is allowed; returns whether it is. */
  boolean tryAcquire(long at, double slack) {
    if (used(at) + 1 > allowed(at, slack)) {
      return false;
    }
    retries[slotIndex(at)]++;
    return true;
  }

  /** Uncounts a retry that reached no upstream. */
  void release(long at) {
    int i = slotIndex(at);
    if (retries[i] > 0) {
      retries[i]--;
    }
  }

  /** Returns the number of retries in the window. */
  int used(long at) {
    return sum(retries, at);
  }

  /** Returns the number of retries that the window may have. */
  double allowed(long at, double slack) {
    return SAFETY_FACTOR * retryShare * sum(firstAttempts, at) + slack;
  }

  private int sum(int[] counts, long at) {
    long second = at / SECOND;
    int sum = 0;
    for (int i = 0; i < slotCount; i++) {
      if (slotSeconds[i] != Long.MIN_VALUE && second - slotSeconds[i] < slotCount) {
        sum += counts[i];
      }
    }
    return sum;
  }

  private int slotIndex(long at) {
    long second = at / SECOND;
    int i = (int) Math.floorMod(second, (long) slotCount);
    if (slotSeconds[i] != second) {
      slotSeconds[i] = second;
      firstAttempts[i] = 0;
      retries[i] = 0;
    }
    return i;
  }
}
