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
 * Who owns a key: the host with the greatest hash of host and key.
 *
 * <p>Invariants: nodes with the same set of hosts agree; when a host goes, only its keys move, and
 * when one comes, keys move only to it. Ownership decides speed and never safety, since two nodes
 * may disagree for a while. Immutable and safe for use by several threads.
 *
 * @since 0.1
 */
public final class Ownership {
  private final HostName[] hosts;
  private final long[] hashes;

  /**
   * Creates the ownership among hosts.
   *
   * @param owners the hosts that may own something
   */
  public Ownership(Collection<HostName> owners) {
    this.hosts = new TreeSet<>(owners).toArray(HostName[]::new);
    this.hashes = new long[hosts.length];
    for (int i = 0; i < hosts.length; i++) {
      hashes[i] = Hashes.of(hosts[i].value());
    }
  }

  /**
   * Finds the hosts that come first for a key; each next one follows if those before it go.
   *
   * @param key names what is owned, never null
   * @param count how many
   * @return the owner first; fewer than asked for only if there are not as many hosts
   */
  public ImmutableList<HostName> ownersOf(String key, int count) {
    long keyHash = Hashes.of(key);
    Comparator<Integer> heaviest = (a, b) -> compareWeights(b, a, keyHash);
    return IntStream.range(0, hosts.length)
        .boxed()
        .sorted(heaviest)
        .limit(count)
        .map(i -> hosts[i])
        .collect(ImmutableList.toImmutableList());
  }

  private int compareWeights(int a, int b, long keyHash) {
    return Long.compareUnsigned(weight(a, keyHash), weight(b, keyHash));
  }

  /**
   * Finds the owner of a key.
   *
   * @param key names what is owned, never null
   * @return the host, empty only if there are no hosts
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
