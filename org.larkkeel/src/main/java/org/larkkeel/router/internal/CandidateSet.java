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
 * The candidate upstreams of one role for some routes, and the subset with free capacity.
 *
 * <p>{@link UpstreamTable} keeps the subset and the totals up to date, so a choice compares a
 * bounded number of upstreams regardless of the size of the set. Not safe for use by several
 * threads.
 *
 * @since 0.1
 */
public final class CandidateSet {
  private final Role role;
  private final Map<UpstreamState, Membership> members = new LinkedHashMap<>();
  private final List<Membership> available = new ArrayList<>();
  private final Set<Route> routes = new LinkedHashSet<>();
  private List<UpstreamState> all = List.of();
  private int unreserved;
  private int heldByOthers;
  private int usable;
  private double releaseRate;

  /**
   * Creates an empty set.
   *
   * @param role the role of the upstreams
   */
  public CandidateSet(Role role) {
    this.role = role;
  }

  /**
   * Returns the role of the upstreams.
   *
   * @return the role
   */
  public Role role() {
    return role;
  }

  /**
   * Replaces the members; the state of members that remain is kept.
   *
   * @param upstreams the new members
   */
  public void setMembers(Set<UpstreamState> upstreams) {
    for (Membership member : List.copyOf(members.values())) {
      if (!upstreams.contains(member.upstream)) {
        members.remove(member.upstream);
        member.upstream.removeMembership(member);
        setAvailable(member, false);
        updateTotals(member, 0, 0, 0, 0);
      }
    }
    for (UpstreamState upstream : upstreams) {
      if (!members.containsKey(upstream)) {
        Membership member = new Membership(this, upstream);
        members.put(upstream, member);
        upstream.addMembership(member);
      }
    }
    all = List.copyOf(members.keySet());
  }

  /**
   * Returns all members.
   *
   * @return the upstreams
   */
  public List<UpstreamState> all() {
    return all;
  }

  /**
   * Returns whether an upstream is a member with free capacity.
   *
   * @param upstream the upstream
   * @return true if so
   */
  public boolean hasCapacity(UpstreamState upstream) {
    Membership member = members.get(upstream);
    return member != null && member.availableIndex != Membership.ABSENT;
  }

  /**
   * Returns whether an upstream is a member.
   *
   * @param upstream the upstream
   * @return true if so
   */
  public boolean contains(UpstreamState upstream) {
    return members.containsKey(upstream);
  }

  /**
   * Returns the number of members with free capacity.
   *
   * @return the number
   */
  public int availableCount() {
    return available.size();
  }

  /**
   * Adds a sample of the members with free capacity to a list, or all of them if there are no more
   * than the sample size.
   *
   * @param sampleSize the size of the sample
   * @param random the source of the start of the sample
   * @param out receives the sample
   */
  public void sample(int sampleSize, SplittableRandom random, List<UpstreamState> out) {
    int size = available.size();
    if (size <= sampleSize) {
      for (int i = 0; i < size; i++) {
        out.add(available.get(i).upstream);
      }
      return;
    }
    int index = random.nextInt(size);
    int stride = size / sampleSize;
    for (int i = 0; i < sampleSize; i++) {
      out.add(available.get(index).upstream);
      index += stride;
      if (index >= size) {
        index -= size;
      }
    }
  }

  /**
   * Returns the free, unreserved slots of all members that this node may use.
   *
   * @return the number; negative if overbooked
   */
  public int unreserved() {
    return unreserved;
  }

  /**
   * Returns the slots of all members that this node may use, including those in use.
   *
   * @return the number
   */
  public int usable() {
    return usable;
  }

  /**
   * Returns the slots of all members that other nodes hold according to the load reports.
   *
   * @return the number
   */
  public int heldByOthers() {
    return heldByOthers;
  }

  /**
   * Returns the predicted rate of slot releases at all members.
   *
   * @return slots per nanosecond
   */
  public double releaseRate() {
    return releaseRate;
  }

  /** Replaces the part of one member in the totals over all members. */
  void updateTotals(
      Membership member,
      int memberUnreserved,
      int memberUsable,
      int memberHeldByOthers,
      double memberRate) {
    heldByOthers += memberHeldByOthers - member.heldByOthers;
    member.heldByOthers = memberHeldByOthers;
    usable += memberUsable - member.usable;
    member.usable = memberUsable;
    unreserved += memberUnreserved - member.unreserved;
    releaseRate = Math.max(0, releaseRate + memberRate - member.releaseRate);
    member.unreserved = memberUnreserved;
    member.releaseRate = memberRate;
  }

  Set<Route> routes() {
    return routes;
  }

  void setAvailable(Membership member, boolean isAvailable) {
    if (isAvailable == (member.availableIndex != Membership.ABSENT)) {
      return;
    }
    if (isAvailable) {
      member.availableIndex = available.size();
      available.add(member);
      return;
    }
    Membership last = available.removeLast();
    if (last != member) {
      available.set(member.availableIndex, last);
      last.availableIndex = member.availableIndex;
    }
    member.availableIndex = Membership.ABSENT;
  }
}
