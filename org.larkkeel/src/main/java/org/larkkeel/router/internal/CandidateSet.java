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
  private int spare;
  private int others;
  private int usable;
  private double releaseRate;

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
        count(member, 0, 0, 0, 0);
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

  /**
   * Free slots of all members less those promised.
   *
   * @return a number; negative if overbooked
   */
  public int spare() {
    return spare;
  }

  /**
   * Slots of all members that this node may use, those in use included.
   *
   * @return a number
   */
  public int usable() {
    return usable;
  }

  /**
   * Slots of all members that other nodes hold, as far as known.
   *
   * @return a number
   */
  public int others() {
    return others;
  }

  /**
   * Slots of all members that come free a nanosecond, as predicted.
   *
   * @return a rate
   */
  public double releaseRate() {
    return releaseRate;
  }

  /** Replaces what a member adds to the sums over all members. */
  void count(
      Membership member, int memberSpare, int memberUsable, int memberOthers, double memberRate) {
    others += memberOthers - member.others;
    member.others = memberOthers;
    usable += memberUsable - member.usable;
    member.usable = memberUsable;
    spare += memberSpare - member.spare;
    releaseRate = Math.max(0, releaseRate + memberRate - member.releaseRate);
    member.spare = memberSpare;
    member.releaseRate = memberRate;
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
