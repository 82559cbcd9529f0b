/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.membership;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.larkkeel.lib.HostName;

/**
 * The member records of this node and its peers, and the rules by which one record replaces
 * another.
 *
 * <p>Invariants: the current record of a host never decreases in the order of {@link
 * Member#supersedes}, until its tombstone expires; only the member itself increments its
 * refutation. Each change of a record is disseminated, and each change of a peer's record is added
 * to the effects. Times are nanoseconds. Not safe for use by several threads.
 */
final class MemberRecords {
  private final MembershipSettings settings;
  private final MemberTable table = new MemberTable();
  private final Suspicions suspicions = new Suspicions();
  private final Dissemination dissemination;
  private final RevisionTable revisions;
  private final Prober prober;
  private final List<Effect> effects;
  private Member self;

  /**
   * Creates the records of a node that knows no peers yet.
   *
   * @param self the node's own record
   * @param dissemination receives each changed record
   * @param revisions drops the revisions of members that are dead or have left
   * @param prober receives new members
   * @param effects receives the resulting effects
   */
  MemberRecords(
      MembershipSettings settings,
      Member self,
      Dissemination dissemination,
      RevisionTable revisions,
      Prober prober,
      List<Effect> effects) {
    this.settings = settings;
    this.self = self;
    this.dissemination = dissemination;
    this.revisions = revisions;
    this.prober = prober;
    this.effects = effects;
  }

  Member self() {
    return self;
  }

  boolean isSelf(HostName host) {
    return host.equals(self.id().host());
  }

  MemberTable table() {
    return table;
  }

  Suspicions suspicions() {
    return suspicions;
  }

  List<Member> all() {
    List<Member> all = table.all();
    all.add(self);
    return all;
  }

  /** Returns the hosts that may own keys: present and not leaving. */
  Set<HostName> owners() {
    Set<HostName> owners = new HashSet<>();
    for (Member member : table.present()) {
      if (!table.isLeaving(member)) {
        owners.add(member.id().host());
      }
    }
    if (!self.leaving()) {
      owners.add(self.id().host());
    }
    return owners;
  }

  /** Announces a new state of this node: increments its refutation and disseminates the record. */
  void announce(MemberState state, boolean leaving) {
    self = self.withRefutation(self.refutation() + 1, state, leaving);
    dissemination.add(self);
    effects.add(new Effect.MemberChanged(self, leaving));
  }

  /** Sets the hosts that the host list marks as leaving. */
  void setListedAsLeaving(Set<HostName> hosts) {
    Set<HostName> leaving = new HashSet<>(hosts);
    if (leaving.remove(self.id().host()) && !self.leaving()) {
      announce(MemberState.LIVE, true);
    }
    for (HostName host : table.replaceListedAsLeaving(leaving)) {
      table.find(host).ifPresent(this::addChange);
    }
  }

  void suspect(Member target, long now) {
    Member known = table.find(target.id().host()).orElse(target);
    if (known.id().equals(target.id()) && known.state() == MemberState.LIVE) {
      merge(known.withState(MemberState.SUSPECT), now, false);
    }
  }

  void declareDead(HostName host, long now) {
    table.find(host).ifPresent(known -> merge(known.withState(MemberState.DEAD), now, false));
  }

  /**
   * Merges a record received from a peer.
   *
   * @param received the record received
   * @param fromPage true if the record is part of a sync page rather than piggybacked
   */
  void merge(Member received, long now, boolean fromPage) {
    HostName host = received.id().host();
    if (isSelf(host)) {
      refute(received);
      return;
    }
    Optional<Member> known = table.find(host);
    if (known.isEmpty()) {
      // A page may hold a dead or left member whose tombstone expired at all other nodes.
      if (!fromPage || received.state().isPresent()) {
        accept(received, now);
        prober.addToRound(host);
      }
      return;
    }
    Member member = known.get();
    Member next = fromPage ? deadAsSuspect(received, member) : received;
    if (!next.supersedes(member)) {
      return;
    }
    boolean restarted = !member.id().equals(next.id());
    if (restarted && member.state().isPresent()) {
      addChange(member.withState(MemberState.DEAD));
    }
    accept(next, now);
    if (!member.state().isPresent() && next.state().isPresent()) {
      prober.addToRound(host);
    }
  }

  /**
   * Converts a death reported in a page to a suspicion if the member is present here. After a
   * partition both sides consider the other dead; the suspicion lets each member refute.
   */
  private static Member deadAsSuspect(Member received, Member known) {
    boolean refutable =
        received.state() == MemberState.DEAD
            && known.state().isPresent()
            && received.id().equals(known.id());
    return refutable ? received.withState(MemberState.SUSPECT) : received;
  }

  private void accept(Member member, long now) {
    HostName host = member.id().host();
    table.put(member, now + settings.tombstoneNanos());
    dissemination.add(member);
    if (member.state() == MemberState.SUSPECT) {
      suspicions.start(host, now, settings.suspicionNanos(table.size()));
    } else {
      suspicions.end(host);
    }
    if (!member.state().isPresent()) {
      revisions.remove(host);
    }
    addChange(member);
  }

  private void addChange(Member member) {
    effects.add(new Effect.MemberChanged(member, table.isLeaving(member)));
  }

  private void refute(Member received) {
    int order = received.id().incarnation().compareTo(self.id().incarnation());
    if (order > 0) {
      effects.add(new Effect.Superseded(received.id()));
      return;
    }
    boolean contradicted =
        order == 0
            && received.refutation() >= self.refutation()
            && received.state() != self.state();
    if (order < 0) {
      dissemination.add(self);
    } else if (contradicted || received.refutation() > self.refutation()) {
      self = self.withRefutation(received.refutation() + 1, self.state(), self.leaving());
      dissemination.add(self);
    }
  }

  /**
   * Reports {@link Effect.Superseded} if another process uses the name of this host with a greater
   * incarnation.
   */
  void checkSuperseded(NodeId sender) {
    if (sender.incarnation().compareTo(self.id().incarnation()) > 0) {
      effects.add(new Effect.Superseded(sender));
    }
  }

  /** Returns whether a received record about this node differs from its own record. */
  boolean differFromSelf(List<Member> received) {
    for (Member member : received) {
      if (isSelf(member.id().host()) && !member.equals(self)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns the record that a node has to refute, if this node holds one: a record that is not live
   * or has another incarnation.
   */
  List<Member> recordsToRefute(NodeId target) {
    Optional<Member> known = table.find(target.host());
    boolean contradicted =
        known.isPresent()
            && (known.get().state() != MemberState.LIVE || !known.get().id().equals(target));
    return contradicted ? List.of(known.get()) : List.of();
  }
}
