/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.run;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.Optional;
import java.util.Set;
import org.larkkeel.lib.HostName;

/** Maps keys to shards, and shards to hosts by rendezvous hashing. Stateless. */
final class ShardHash {
  private static final HashFunction HASH = Hashing.murmur3_128();

  private ShardHash() {}

  static int shardOf(RunId key, int shards) {
    long h = hash(key.workspace().value() + "\n" + key.key().value());
    return (int) Long.remainderUnsigned(h, shards);
  }

  static Optional<HostName> ownerOf(int shard, Set<HostName> hosts) {
    Comparator<HostName> byWeight = Comparator.comparingLong(h -> hash(shard + "\n" + h.value()));
    return hosts.stream().max(byWeight.thenComparing(Comparator.naturalOrder()));
  }

  private static long hash(String s) {
    return HASH.hashString(s, StandardCharsets.UTF_8).asLong();
  }
}
