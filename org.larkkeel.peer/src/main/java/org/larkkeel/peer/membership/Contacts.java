/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.larkkeel.lib.HostName;

/**
 * The addresses through which a node can find its cluster: the seeds and the host list.
 *
 * <p>Not safe for use by several threads.
 */
final class Contacts {
  private static final int JOIN_FAN_OUT = 3;

  private final List<NodeAddress> seeds;
  private final NodeAddress self;
  private final Random random;
  private List<HostEntry> hosts = List.of();

  Contacts(List<NodeAddress> seeds, NodeAddress self, Random random) {
    this.seeds = List.copyOf(seeds);
    this.self = self;
    this.random = random;
  }

  void setHosts(List<HostEntry> list) {
    hosts = list;
  }

  /** Returns the hosts that the host list marks as leaving. */
  Set<HostName> leavingHosts() {
    Set<HostName> leavingHosts = new HashSet<>();
    for (HostEntry entry : hosts) {
      if (entry.leaving()) {
        leavingHosts.add(entry.host());
      }
    }
    return leavingHosts;
  }

  /** Returns up to {@value #JOIN_FAN_OUT} randomly chosen addresses to join through. */
  List<NodeAddress> joinTargets() {
    List<NodeAddress> addresses = new ArrayList<>(seeds);
    for (HostEntry entry : hosts) {
      addresses.add(entry.address());
    }
    addresses.removeIf(self::equals);
    Collections.shuffle(addresses, random);
    return addresses.subList(0, Math.min(JOIN_FAN_OUT, addresses.size()));
  }

  /**
   * Returns a random known address where no member is present, so that the sides of a partition
   * merge again once it heals.
   */
  Optional<NodeAddress> rejoinTarget(List<Member> presentMembers) {
    Set<NodeAddress> present = new HashSet<>();
    for (Member member : presentMembers) {
      present.add(member.address());
    }
    List<NodeAddress> candidates = new ArrayList<>();
    for (HostEntry entry : hosts) {
      candidates.add(entry.address());
    }
    candidates.addAll(seeds);
    candidates.removeIf(address -> present.contains(address) || address.equals(self));
    return candidates.isEmpty()
        ? Optional.empty()
        : Optional.of(candidates.get(random.nextInt(candidates.size())));
  }
}
