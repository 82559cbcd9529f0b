/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.larkkeel.lib.HostName;

/**
 * Which member is probed next, and which probes are unanswered.
 *
 * <p>Every member is probed once a round, in a random order that changes with each round. Not safe
 * for use by several threads.
 */
final class Prober {
  private final MembershipSettings settings;
  private final Random random;
  private final List<HostName> order = new ArrayList<>();
  private final Map<Long, Probe> probes = new HashMap<>();
  private final Map<Long, Relay> relays = new HashMap<>();
  private int position;
  private long sequence;
  private long nextProbe;

  Prober(MembershipSettings settings, Random random, long now) {
    this.settings = settings;
    this.random = random;
    this.nextProbe = now + (long) (random.nextDouble() * settings.probePeriod());
  }

  /** An unanswered probe. */
  record Probe(Member target, long sequence, long helpAt, long failAt, boolean helped) {
    private long deadline() {
      return helped ? failAt : helpAt;
    }
  }

  /** A probe on behalf of another node. */
  record Relay(NodeAddress requester, long sequence, NodeId target, long until) {}

  long nextDeadline() {
    long deadline = nextProbe;
    for (Probe probe : probes.values()) {
      deadline = Math.min(deadline, probe.deadline());
    }
    return deadline;
  }

  boolean isDue(long now) {
    return nextProbe <= now;
  }

  /** Takes the next target and counts its probe as sent. Empty if nobody else is present. */
  Optional<Probe> next(long now, MemberTable table) {
    nextProbe = Math.max(nextProbe + settings.probePeriod(), now);
    relays.values().removeIf(relay -> relay.until() <= now);
    Optional<Member> target = nextTarget(table);
    if (target.isEmpty()) {
      return Optional.empty();
    }
    Probe probe =
        new Probe(
            target.get(),
            ++sequence,
            now + settings.directTimeout(),
            now + settings.probeTimeout(),
            false);
    probes.put(probe.sequence(), probe);
    return Optional.of(probe);
  }

  private Optional<Member> nextTarget(MemberTable table) {
    int tries = order.size() + 1;
    for (int i = 0; i < tries; i++) {
      if (position >= order.size() && !startRound(table)) {
        return Optional.empty();
      }
      Optional<Member> member = table.find(order.get(position++));
      if (member.isPresent() && member.get().state().isPresent()) {
        return member;
      }
    }
    return Optional.empty();
  }

  private boolean startRound(MemberTable table) {
    order.clear();
    position = 0;
    for (Member member : table.present()) {
      order.add(member.id().host());
    }
    Collections.shuffle(order, random);
    return !order.isEmpty();
  }

  /** Puts a new member at a random place of what is left of the round. */
  void include(HostName host) {
    order.add(position + random.nextInt(order.size() - position + 1), host);
  }

  /** Takes the probes for which helpers are due now; they are marked as helped. */
  List<Probe> takeHelpDue(long now) {
    List<Probe> due = new ArrayList<>();
    for (Map.Entry<Long, Probe> entry : probes.entrySet()) {
      Probe probe = entry.getValue();
      if (!probe.helped() && probe.helpAt() <= now) {
        due.add(probe);
        entry.setValue(
            new Probe(probe.target(), probe.sequence(), probe.helpAt(), probe.failAt(), true));
      }
    }
    return due;
  }

  /** Takes the probes that nobody answered in time. */
  List<Probe> takeFailed(long now) {
    List<Probe> failed = new ArrayList<>();
    Iterator<Probe> all = probes.values().iterator();
    while (all.hasNext()) {
      Probe probe = all.next();
      if (probe.failAt() <= now) {
        failed.add(probe);
        all.remove();
      }
    }
    return failed;
  }

  /** Ends the probe that an answer belongs to. */
  void answered(long sequence, NodeId target) {
    Probe probe = probes.get(sequence);
    if (probe != null && probe.target().id().equals(target)) {
      probes.remove(sequence);
    }
  }

  /** Remembers whom to tell when the target answers. Returns the sequence of the ping. */
  long relay(NodeAddress requester, long requested, NodeId target, long now) {
    long own = ++sequence;
    relays.put(own, new Relay(requester, requested, target, now + settings.probeTimeout()));
    return own;
  }

  Optional<Relay> takeRelay(long sequence, NodeId target) {
    Relay relay = relays.get(sequence);
    if (relay == null || !relay.target().equals(target)) {
      return Optional.empty();
    }
    return Optional.of(relays.remove(sequence));
  }

  /** Moves everything that is due later by the time that this node stood still. */
  void shift(long gap) {
    probes.replaceAll(
        (number, probe) ->
            new Probe(
                probe.target(),
                probe.sequence(),
                probe.helpAt() + gap,
                probe.failAt() + gap,
                probe.helped()));
  }
}
