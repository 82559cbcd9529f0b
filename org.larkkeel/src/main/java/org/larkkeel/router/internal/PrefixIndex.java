/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

import com.google.common.primitives.ImmutableLongArray;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Which upstreams are believed to hold which prompt prefixes.
 *
 * <p>Invariant: holds exactly the pairs that the caches of the upstreams hold. Not safe for use by
 * several threads.
 *
 * @since 0.1
 */
public final class PrefixIndex {
  private final Map<Long, List<UpstreamState>> holders = new HashMap<>();

  /**
   * Finds those that hold the longest prefix that anyone holds.
   *
   * @param keys the prefixes of a prompt, shortest first
   * @return the upstreams; none if nobody holds the first piece
   */
  public List<UpstreamState> longest(ImmutableLongArray keys) {
    List<UpstreamState> best = List.of();
    for (int i = 0; i < keys.length(); i++) {
      List<UpstreamState> found = holders.get(keys.get(i));
      if (found == null) {
        break;
      }
      best = found;
    }
    return best;
  }

  /**
   * The number of prefixes known.
   *
   * @return a count
   */
  public int size() {
    return holders.size();
  }

  void add(long key, UpstreamState upstream) {
    holders.computeIfAbsent(key, k -> new ArrayList<>(1)).add(upstream);
  }

  void remove(long key, UpstreamState upstream) {
    List<UpstreamState> found = holders.get(key);
    if (found == null) {
      return;
    }
    found.remove(upstream);
    if (found.isEmpty()) {
      holders.remove(key);
    }
  }
}
