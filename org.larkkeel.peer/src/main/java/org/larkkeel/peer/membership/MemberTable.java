/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.larkkeel.lib.HostName;

/**
 * The greatest known record of each peer, and the hosts that the host list marks as leaving.
 *
 * <p>Invariant: the table never contains the node itself. Not safe for use by several threads.
 */
final class MemberTable {
  private final TreeMap<HostName, Member> members = new TreeMap<>();
  private final Map<HostName, Long> tombstones = new HashMap<>();
  private final Set<HostName> listedAsLeaving = new HashSet<>();

  Optional<Member> find(HostName host) {
    return Optional.ofNullable(members.get(host));
  }

  void put(Member member, long tombstoneUntil) {
    members.put(member.id().host(), member);
    if (member.state().isPresent()) {
      tombstones.remove(member.id().host());
    } else {
      tombstones.put(member.id().host(), tombstoneUntil);
    }
  }

  void expireTombstones(long now) {
    tombstones
        .entrySet()
        .removeIf(
            entry -> {
              if (entry.getValue() > now) {
                return false;
              }
              members.remove(entry.getKey());
              return true;
            });
  }

  /**
   * Replaces the set of hosts listed as leaving and returns the hosts that were added or removed.
   */
  Set<HostName> replaceListedAsLeaving(Set<HostName> leaving) {
    Set<HostName> changed = new HashSet<>(leaving);
    changed.removeAll(listedAsLeaving);
    for (HostName host : listedAsLeaving) {
      if (!leaving.contains(host)) {
        changed.add(host);
      }
    }
    listedAsLeaving.clear();
    listedAsLeaving.addAll(leaving);
    return changed;
  }

  boolean isLeaving(Member member) {
    return member.leaving() || listedAsLeaving.contains(member.id().host());
  }

  List<Member> all() {
    return new ArrayList<>(members.values());
  }

  List<Member> present() {
    List<Member> present = new ArrayList<>();
    for (Member member : members.values()) {
      if (member.state().isPresent()) {
        present.add(member);
      }
    }
    return present;
  }

  /** Returns the number of present members, including the node itself. */
  int size() {
    return members.size() - tombstones.size() + 1;
  }

  /**
   * Returns a digest of the present members; it is equal for two nodes that hold the same records,
   * independent of their order.
   */
  long digest(Member self) {
    long digest = digestOf(self);
    for (Member member : members.values()) {
      if (member.state().isPresent()) {
        digest ^= digestOf(member);
      }
    }
    return digest;
  }

  private static long digestOf(Member member) {
    // The state is left out: a suspicion is temporary and is disseminated anyway.
    long hash = Hashes.of(member.id().host().value());
    hash = Hashes.mix(hash ^ member.id().incarnation().value());
    return Hashes.mix(hash ^ member.refutation());
  }

  /**
   * Returns the members whose names follow a given one, as many as fit into the limit but at least
   * one.
   */
  Page page(Member self, Optional<HostName> after, int maxBytes) {
    TreeMap<HostName, Member> all = new TreeMap<>(members);
    all.put(self.id().host(), self);
    List<Member> page = new ArrayList<>();
    int bytesLeft = maxBytes;
    var remaining = after.isPresent() ? all.tailMap(after.get(), false) : all;
    for (Member member : remaining.values()) {
      bytesLeft -= Dissemination.maxEncodedBytes(member);
      if (bytesLeft < 0 && !page.isEmpty()) {
        return new Page(page, true);
      }
      page.add(member);
    }
    return new Page(page, false);
  }

  /** A page of members; {@code more} is true if more members follow. */
  record Page(List<Member> members, boolean more) {}
}
