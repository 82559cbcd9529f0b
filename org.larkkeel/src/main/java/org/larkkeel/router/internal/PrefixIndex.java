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
 * An index from prompt prefixes to the upstreams that are known to have them cached.
 *
 * <p>Invariant: contains exactly the pairs of the {@link PrefixCache} of each upstream. Not safe
 * for use by several threads.
 *
 * @since 0.1
 */
public final class PrefixIndex {
  private final Map<Long, List<UpstreamState>> upstreamsByPrefix = new HashMap<>();

  /**
   * Returns the upstreams that have the longest cached prefix of a prompt.
   *
   * @param keys the prefixes of the prompt, shortest first
   * @return the upstreams; empty if no upstream has the first prefix
   */
  public List<UpstreamState> withLongestPrefix(ImmutableLongArray keys) {
    List<UpstreamState> best = List.of();
    for (int i = 0; i < keys.length(); i++) {
      List<UpstreamState> found = upstreamsByPrefix.get(keys.get(i));
      if (found == null) {
        break;
      }
      best = found;
    }
    return best;
  }

  /**
   * Returns the number of prefixes in the index.
   *
   * @return the number
   */
  public int size() {
    return upstreamsByPrefix.size();
  }

  void add(long key, UpstreamState upstream) {
    upstreamsByPrefix.computeIfAbsent(key, k -> new ArrayList<>(1)).add(upstream);
  }

  void remove(long key, UpstreamState upstream) {
    List<UpstreamState> found = upstreamsByPrefix.get(key);
    if (found == null) {
      return;
    }
    found.remove(upstream);
    if (found.isEmpty()) {
      upstreamsByPrefix.remove(key);
    }
  }
}
