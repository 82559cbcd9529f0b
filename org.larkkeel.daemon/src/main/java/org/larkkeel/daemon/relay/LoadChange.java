/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import org.larkkeel.lib.UpstreamLife;

/**
 * What a node has in flight now, and what it told last.
 *
 * <p>Not safe for use by several threads.
 */
final class LoadChange {
  /** Below this, units are requests; tokens come in greater numbers. */
  static final long FEW = 100;

  private static final long LARGE_OF_FEW = 3;
  private static final long LARGE = 1_500;

  private ImmutableMap<UpstreamLife, Long> loads = ImmutableMap.of();
  private ImmutableMap<UpstreamLife, Long> told = ImmutableMap.of();
  private ImmutableSet<UpstreamLife> lapsing = ImmutableSet.of();

  ImmutableMap<UpstreamLife, Long> loads() {
    return loads;
  }

  ImmutableSet<UpstreamLife> lapsing() {
    return lapsing;
  }

  /**
   * Takes over what is in flight now.
   *
   * @return whether others should not wait for it until the next period
   */
  boolean now(ImmutableMap<UpstreamLife, Long> current, ImmutableSet<UpstreamLife> lost) {
    boolean news = !lapsing.containsAll(lost);
    loads = current;
    lapsing = lost;
    return news || hasChangedMuch();
  }

  /** Whether anything has changed since the others were told. */
  boolean isAny() {
    return loads != told && !loads.equals(told);
  }

  /** Notes that the others were told. */
  void told() {
    told = loads;
  }

  private boolean hasChangedMuch() {
    if (!isAny()) {
      return false;
    }
    for (var e : loads.entrySet()) {
      if (isLarge(e.getValue(), told.getOrDefault(e.getKey(), 0L))) {
        return true;
      }
    }
    for (var e : told.entrySet()) {
      if (!loads.containsKey(e.getKey()) && isLarge(0, e.getValue())) {
        return true;
      }
    }
    return false;
  }

  private static boolean isLarge(long now, long before) {
    long difference = Math.abs(now - before);
    boolean few = Math.max(now, before) < FEW;
    return difference >= (few ? LARGE_OF_FEW : LARGE);
  }
}
