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
 * The addresses through which a cluster may be found: the seeds and the host list.
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

  /** The hosts that the host list calls leaving. */
  Set<HostName> leaving() {
    Set<HostName> leaving = new HashSet<>();
    for (HostEntry entry : hosts) {
      if (entry.leaving()) {
        leaving.add(entry.host());
      }
    }
    return leaving;
  }

  /** Some addresses to join through, chosen at random. */
  List<NodeAddress> toJoin() {
    List<NodeAddress> known = new ArrayList<>(seeds);
    for (HostEntry entry : hosts) {
      known.add(entry.address());
    }
    known.removeIf(self::equals);
    Collections.shuffle(known, random);
    return known.subList(0, Math.min(JOIN_FAN_OUT, known.size()));
  }

  /** One address where no member is present, so that the sides of a partition meet again. */
  Optional<NodeAddress> toRejoin(List<Member> presentMembers) {
    Set<NodeAddress> present = new HashSet<>();
    for (Member member : presentMembers) {
      present.add(member.address());
    }
    List<NodeAddress> lost = new ArrayList<>();
    for (HostEntry entry : hosts) {
      lost.add(entry.address());
    }
    lost.addAll(seeds);
    lost.removeIf(address -> present.contains(address) || address.equals(self));
    return lost.isEmpty() ? Optional.empty() : Optional.of(lost.get(random.nextInt(lost.size())));
  }
}
