/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.fake;

import com.google.common.primitives.ImmutableLongArray;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.larkkeel.call.PrefixKeys;

/**
 * The prefix cache of a prefill engine, an LRU cache with a bounded number of pieces.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
final class PrefixCache {
  private final int maxPieces;
  private final Map<Long, Boolean> stored = new LinkedHashMap<>(16, 0.75f, true);

  PrefixCache(int pieces) {
    this.maxPieces = pieces;
  }

  /** The keys that an operation stored and removed. */
  record Change(ImmutableLongArray stored, ImmutableLongArray removed) {
    boolean isEmpty() {
      return stored.isEmpty() && removed.isEmpty();
    }
  }

  int cachedTokens(PrefixKeys keys) {
    int found = 0;
    while (found < keys.keys().length() && stored.get(keys.keys().get(found)) != null) {
      found++;
    }
    return found * PrefixKeys.PIECE_TOKENS;
  }

  Change store(PrefixKeys keys) {
    ImmutableLongArray.Builder added = ImmutableLongArray.builder();
    ImmutableLongArray.Builder removed = ImmutableLongArray.builder();
    keys.keys()
        .forEach(
            key -> {
              if (stored.put(key, true) == null) {
                added.add(key);
              }
            });
    while (stored.size() > maxPieces) {
      Long oldest = stored.keySet().iterator().next();
      stored.remove(oldest);
      removed.add(oldest);
    }
    return new Change(added.build(), removed.build());
  }

  Change clear() {
    List<Long> all = new ArrayList<>(stored.keySet());
    stored.clear();
    return new Change(ImmutableLongArray.of(), ImmutableLongArray.copyOf(all));
  }
}
