/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.ownership;

import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.TreeSet;
import java.util.stream.IntStream;
import org.larkkeel.lib.HostName;
import org.larkkeel.peer.membership.Hashes;

/**
 * Maps keys to hosts by rendezvous hashing: the owner of a key is the host with the greatest hash
 * of host and key.
 *
 * <p>Invariants: nodes with the same set of hosts agree on every owner; if a host is removed, only
 * its keys move; if one is added, keys move only to it. Nodes with different sets of hosts may
 * disagree, so safety must not depend on ownership, only speed. Immutable and safe for use by
 * several threads.
 *
 * @since 0.1
 */
public final class Ownership {
  private final HostName[] hosts;
  private final long[] hashes;

  /**
   * Creates the ownership among a set of hosts.
   *
   * @param candidates the hosts that may own keys; may be empty
   */
  public Ownership(Collection<HostName> candidates) {
    this.hosts = new TreeSet<>(candidates).toArray(HostName[]::new);
    this.hashes = new long[hosts.length];
    for (int i = 0; i < hosts.length; i++) {
      hashes[i] = Hashes.of(hosts[i].value());
    }
  }

  /**
   * Returns the first hosts of a key in order of preference. If the owner is removed, the next host
   * becomes the owner.
   *
   * @param key the key, never null
   * @param count the maximum number of hosts
   * @return the owner and its successors; fewer than {@code count} only if there are fewer hosts
   */
  public ImmutableList<HostName> ownersOf(String key, int count) {
    long keyHash = Hashes.of(key);
    Comparator<Integer> byDescendingWeight = (a, b) -> compareWeights(b, a, keyHash);
    return IntStream.range(0, hosts.length)
        .boxed()
        .sorted(byDescendingWeight)
        .limit(count)
        .map(i -> hosts[i])
        .collect(ImmutableList.toImmutableList());
  }

  private int compareWeights(int a, int b, long keyHash) {
    return Long.compareUnsigned(weight(a, keyHash), weight(b, keyHash));
  }

  /**
   * Returns the owner of a key.
   *
   * @param key the key, never null
   * @return the owner, empty only if there are no hosts
   */
  public Optional<HostName> ownerOf(String key) {
    if (hosts.length == 0) {
      return Optional.empty();
    }
    long keyHash = Hashes.of(key);
    int best = 0;
    long bestWeight = weight(0, keyHash);
    for (int i = 1; i < hosts.length; i++) {
      long weight = weight(i, keyHash);
      if (Long.compareUnsigned(weight, bestWeight) > 0) {
        best = i;
        bestWeight = weight;
      }
    }
    return Optional.of(hosts[best]);
  }

  private long weight(int host, long keyHash) {
    return Hashes.mix(hashes[host] ^ keyHash);
  }
}
