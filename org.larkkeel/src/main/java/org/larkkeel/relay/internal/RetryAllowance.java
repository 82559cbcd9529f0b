/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.Arrays;

/**
 * This node's part of the repeats that all nodes together may make at one service.
 *
 * <p>Counts first sends and repeats in seconds. Repeats of a whole window and the second before it
 * stay under the share of the first sends of that window plus this node's part of the slack, so the
 * sum over all nodes holds without a word between them. Not safe for use by several threads.
 */
final class RetryAllowance {
  private static final long SECOND = 1_000_000_000L;

  /** What is kept back, as the seconds of nodes and of whoever counts differ. */
  private static final double MARGIN = 0.85;

  private final double share;
  private final int seconds;
  private final long[] stamps;
  private final int[] firsts;
  private final int[] repeats;

  RetryAllowance(double share, long windowNanos) {
    this.share = share;
    this.seconds = (int) Math.max(1, windowNanos / SECOND) + 1;
    this.stamps = new long[seconds];
    this.firsts = new int[seconds];
    this.repeats = new int[seconds];
    Arrays.fill(stamps, Long.MIN_VALUE);
  }

  /** Counts a first send. */
  void first(long at) {
    firsts[slot(at)]++;
  }

  /** Counts a repeat if one is allowed. */
  boolean take(long at, double slack) {
    if (used(at) + 1 > allowed(at, slack)) {
      return false;
    }
    repeats[slot(at)]++;
    return true;
  }

  /** Gives back a repeat that never reached an upstream. */
  void giveBack(long at) {
    int i = slot(at);
    if (repeats[i] > 0) {
      repeats[i]--;
    }
  }

  /** The repeats of the window. */
  int used(long at) {
    return sum(repeats, at);
  }

  /** How many the window may have. */
  double allowed(long at, double slack) {
    return MARGIN * (share * sum(firsts, at) + slack);
  }

  private int sum(int[] counts, long at) {
    long second = at / SECOND;
    int sum = 0;
    for (int i = 0; i < seconds; i++) {
      if (stamps[i] != Long.MIN_VALUE && second - stamps[i] < seconds) {
        sum += counts[i];
      }
    }
    return sum;
  }

  private int slot(long at) {
    long second = at / SECOND;
    int i = (int) Math.floorMod(second, (long) seconds);
    if (stamps[i] != second) {
      stamps[i] = second;
      firsts[i] = 0;
      repeats[i] = 0;
    }
    return i;
  }
}
