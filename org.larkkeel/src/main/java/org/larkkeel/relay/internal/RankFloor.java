/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.larkkeel.relay.CallRank;

/**
 * Keeps the more urgent calls of a service from starving the others.
 *
 * <p>Over the last {@link #WINDOW_NANOS}, a rank with waiting calls gets at least {@link
 * #MIN_SHARE} of its fair share: of the units granted to all ranks, divided by the number of ranks
 * that wait. Times are those of events, in nanoseconds, and do not decrease. Not thread-safe.
 */
final class RankFloor {
  /**
   * The time over which shares are compared: the target of the normal calls, so that a rank gets
   * its minimum before its calls are late.
   */
  static final long WINDOW_NANOS = 2_000_000_000L;

  /**
   * The minimum share of a fair share. With two ranks, it leaves seven eighths to the more urgent
   * one.
   */
  static final double MIN_SHARE = 0.25;

  private final Deque<Grant> grants = new ArrayDeque<>();
  private final Map<CallRank, Long> unitsByRank = new HashMap<>();
  private long totalUnits;

  private record Grant(long at, CallRank rank, long units) {}

  /** Records that units were granted to a call. */
  void granted(long at, CallRank rank, long units) {
    expire(at);
    grants.addLast(new Grant(at, rank, units));
    add(rank, units);
  }

  /**
   * Returns the rank whose first call goes next as the rank is below its minimum: the one with the
   * fewest units, the most urgent of several; empty if no rank is below its minimum.
   *
   * @param at now
   * @param waiting the ranks that have waiting calls, each once
   */
  Optional<CallRank> belowMinimum(long at, Collection<CallRank> waiting) {
    expire(at);
    double minimum = MIN_SHARE * totalUnits / Math.max(1, waiting.size());
    return waiting.stream()
        .filter(r -> units(r) < minimum)
        .min(Comparator.comparingLong(this::units).thenComparing(Comparator.naturalOrder()));
  }

  private long units(CallRank rank) {
    return unitsByRank.getOrDefault(rank, 0L);
  }

  private void expire(long at) {
    while (!grants.isEmpty() && at - grants.getFirst().at() > WINDOW_NANOS) {
      Grant oldest = grants.removeFirst();
      add(oldest.rank(), -oldest.units());
    }
  }

  private void add(CallRank rank, long units) {
    totalUnits += units;
    unitsByRank.merge(rank, units, (a, b) -> a + b == 0 ? null : a + b);
  }
}
