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
 * The records of this node and of the others, and the rules by which a record replaces another.
 *
 * <p>Invariants: the record in force about a host never gets smaller in the order of {@link
 * Member#supersedes}, while it is remembered; only the member itself raises its refutation. Each
 * change is disseminated and added to the effects. Times are nanoseconds. Not safe for use by
 * several threads.
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
   * Creates the records of a node that knows nobody yet.
   *
   * @param self the node's own record
   * @param dissemination takes each changed record
   * @param revisions forgets members that are gone
   * @param prober told of members that came
   * @param effects takes what is to be done
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

  /** The hosts that may own something: present and not leaving. */
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

  /** Raises this node's own record to a new state. */
  void announce(MemberState state, boolean leaving) {
    self = self.announce(self.refutation() + 1, state, leaving);
    dissemination.add(self);
    effects.add(new Effect.MemberChanged(self, leaving));
  }

  /** Takes the set of hosts that the host list calls leaving. */
  void listAsLeaving(Set<HostName> hosts) {
    Set<HostName> leaving = new HashSet<>(hosts);
    if (leaving.remove(self.id().host()) && !self.leaving()) {
      announce(MemberState.LIVE, true);
    }
    for (HostName host : table.replaceListedAsLeaving(leaving)) {
      table.find(host).ifPresent(this::changed);
    }
  }

  void suspect(Member target, long now) {
    Member known = table.find(target.id().host()).orElse(target);
    if (known.id().equals(target.id()) && known.state() == MemberState.LIVE) {
      learn(known.withState(MemberState.SUSPECT), now, false);
    }
  }

  void declareDead(HostName host, long now) {
    table.find(host).ifPresent(known -> learn(known.withState(MemberState.DEAD), now, false));
  }

  /**
   * Takes a record from a peer.
   *
   * @param heard the record
   * @param fromPage true if it came with a page of all records rather than as news
   */
  void learn(Member heard, long now, boolean fromPage) {
    HostName host = heard.id().host();
    if (isSelf(host)) {
      defend(heard);
      return;
    }
    Optional<Member> known = table.find(host);
    if (known.isEmpty()) {
      // A page may hold what all others have forgotten already.
      if (!fromPage || heard.state().isPresent()) {
        accept(heard, now);
        prober.include(host);
      }
      return;
    }
    Member member = known.get();
    Member next = fromPage ? softened(heard, member) : heard;
    if (!next.supersedes(member)) {
      return;
    }
    boolean restarted = !member.id().equals(next.id());
    if (restarted && member.state().isPresent()) {
      changed(member.withState(MemberState.DEAD));
    }
    accept(next, now);
    if (!member.state().isPresent() && next.state().isPresent()) {
      prober.include(host);
    }
  }

  /** After a partition both sides hold the other as dead; each gets the chance to refute. */
  private static Member softened(Member heard, Member known) {
    boolean refutable =
        heard.state() == MemberState.DEAD
            && known.state().isPresent()
            && heard.id().equals(known.id());
    return refutable ? heard.withState(MemberState.SUSPECT) : heard;
  }

  private void accept(Member member, long now) {
    HostName host = member.id().host();
    table.put(member, now + settings.tombstoneTime());
    dissemination.add(member);
    if (member.state() == MemberState.SUSPECT) {
      suspicions.start(host, now, settings.suspicionTime(table.size()));
    } else {
      suspicions.end(host);
    }
    if (!member.state().isPresent()) {
      revisions.forget(host);
    }
    changed(member);
  }

  private void changed(Member member) {
    effects.add(new Effect.MemberChanged(member, table.isLeaving(member)));
  }

  private void defend(Member heard) {
    int order = heard.id().incarnation().compareTo(self.id().incarnation());
    if (order > 0) {
      effects.add(new Effect.Superseded(heard.id()));
      return;
    }
    boolean contradicted =
        order == 0 && heard.refutation() >= self.refutation() && heard.state() != self.state();
    if (order < 0) {
      dissemination.add(self);
    } else if (contradicted || heard.refutation() > self.refutation()) {
      self = self.announce(heard.refutation() + 1, self.state(), self.leaving());
      dissemination.add(self);
    }
  }

  /** Takes note of a process that speaks under the name of this host. */
  void defendAgainst(NodeId sender) {
    if (sender.incarnation().compareTo(self.id().incarnation()) > 0) {
      effects.add(new Effect.Superseded(sender));
    }
  }

  /** Tells whether a peer's records about this node differ from the one in force. */
  boolean contradictSelf(List<Member> heard) {
    for (Member member : heard) {
      if (isSelf(member.id().host()) && !member.equals(self)) {
        return true;
      }
    }
    return false;
  }

  /** The record about a node that it has to contradict, if this node holds one. */
  List<Member> contradictions(NodeId target) {
    Optional<Member> known = table.find(target.host());
    boolean contradicted =
        known.isPresent()
            && (known.get().state() != MemberState.LIVE || !known.get().id().equals(target));
    return contradicted ? List.of(known.get()) : List.of();
  }
}
