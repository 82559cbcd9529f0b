/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import org.larkkeel.lib.UpstreamIncarnation;

/**
 * The current load of this node and the load that it reported last.
 *
 * <p>Not thread-safe.
 */
final class LoadChange {
  /** The load from which units are taken to be tokens; below it they are requests. */
  static final long MIN_TOKEN_UNITS = 100;

  private static final long LARGE_REQUEST_CHANGE = 3;
  private static final long LARGE_TOKEN_CHANGE = 1_500;

  private ImmutableMap<UpstreamIncarnation, Long> loads = ImmutableMap.of();
  private ImmutableMap<UpstreamIncarnation, Long> reported = ImmutableMap.of();
  private ImmutableSet<UpstreamIncarnation> losingHandles = ImmutableSet.of();

  ImmutableMap<UpstreamIncarnation, Long> loads() {
    return loads;
  }

  ImmutableSet<UpstreamIncarnation> losingHandles() {
    return losingHandles;
  }

  /**
   * Updates the current load.
   *
   * @return whether the change must be reported before the next period
   */
  boolean update(
      ImmutableMap<UpstreamIncarnation, Long> current,
      ImmutableSet<UpstreamIncarnation> currentLosingHandles) {
    boolean isUrgent = !losingHandles.containsAll(currentLosingHandles);
    loads = current;
    losingHandles = currentLosingHandles;
    return isUrgent || hasChangedMuch();
  }

  /** Returns whether the load has changed since the last report. */
  boolean hasChanged() {
    return loads != reported && !loads.equals(reported);
  }

  /** Records that the current load was reported. */
  void reported() {
    reported = loads;
  }

  private boolean hasChangedMuch() {
    if (!hasChanged()) {
      return false;
    }
    for (var e : loads.entrySet()) {
      if (isLarge(e.getValue(), reported.getOrDefault(e.getKey(), 0L))) {
        return true;
      }
    }
    for (var e : reported.entrySet()) {
      if (!loads.containsKey(e.getKey()) && isLarge(0, e.getValue())) {
        return true;
      }
    }
    return false;
  }

  private static boolean isLarge(long current, long previous) {
    long difference = Math.abs(current - previous);
    boolean areRequests = Math.max(current, previous) < MIN_TOKEN_UNITS;
    return difference >= (areRequests ? LARGE_REQUEST_CHANGE : LARGE_TOKEN_CHANGE);
  }
}
