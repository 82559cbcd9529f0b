/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.larkkeel.config.Role;

/**
 * The upstreams that fit requests of some routes in one role, and those of them with room.
 *
 * <p>Whether one has room is kept up to date by {@link UpstreamState}, so a choice looks at a
 * bounded number of upstreams, however many there are. Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class CandidateSet {
  private final Role role;
  private final Map<UpstreamState, Membership> members = new LinkedHashMap<>();
  private final List<Membership> roomy = new ArrayList<>();
  private final Set<Route> routes = new LinkedHashSet<>();
  private List<UpstreamState> all = List.of();

  /**
   * Creates an empty set.
   *
   * @param role what the upstreams do
   */
  public CandidateSet(Role role) {
    this.role = role;
  }

  /**
   * What the upstreams do.
   *
   * @return the role
   */
  public Role role() {
    return role;
  }

  /**
   * Replaces the members; those that stay keep their state.
   *
   * @param upstreams the members
   */
  public void setMembers(Set<UpstreamState> upstreams) {
    for (Membership member : List.copyOf(members.values())) {
      if (!upstreams.contains(member.upstream)) {
        members.remove(member.upstream);
        member.upstream.leave(member);
        setRoomy(member, false);
      }
    }
    for (UpstreamState upstream : upstreams) {
      if (!members.containsKey(upstream)) {
        Membership member = new Membership(this, upstream);
        members.put(upstream, member);
        upstream.join(member);
      }
    }
    all = List.copyOf(members.keySet());
  }

  /**
   * All members.
   *
   * @return the upstreams
   */
  public List<UpstreamState> all() {
    return all;
  }

  /**
   * Tells whether an upstream is a member with room.
   *
   * @param upstream the upstream
   * @return true if so
   */
  public boolean hasRoom(UpstreamState upstream) {
    Membership member = members.get(upstream);
    return member != null && member.index != Membership.ABSENT;
  }

  /**
   * Tells whether an upstream is a member.
   *
   * @param upstream the upstream
   * @return true if so
   */
  public boolean contains(UpstreamState upstream) {
    return members.containsKey(upstream);
  }

  /**
   * The number of members with room.
   *
   * @return a count
   */
  public int roomyCount() {
    return roomy.size();
  }

  /**
   * Adds a sample of the members with room to a list; all of them if there are few.
   *
   * @param count the size of the sample
   * @param random where the sample begins
   * @param into the list
   */
  public void sample(int count, SplittableRandom random, List<UpstreamState> into) {
    int size = roomy.size();
    if (size <= count) {
      for (int i = 0; i < size; i++) {
        into.add(roomy.get(i).upstream);
      }
      return;
    }
    int place = random.nextInt(size);
    int stride = size / count;
    for (int i = 0; i < count; i++) {
      into.add(roomy.get(place).upstream);
      place += stride;
      if (place >= size) {
        place -= size;
      }
    }
  }

  Set<Route> routes() {
    return routes;
  }

  void setRoomy(Membership member, boolean room) {
    if (room == (member.index != Membership.ABSENT)) {
      return;
    }
    if (room) {
      member.index = roomy.size();
      roomy.add(member);
      return;
    }
    Membership last = roomy.removeLast();
    if (last != member) {
      roomy.set(member.index, last);
      last.index = member.index;
    }
    member.index = Membership.ABSENT;
  }
}
