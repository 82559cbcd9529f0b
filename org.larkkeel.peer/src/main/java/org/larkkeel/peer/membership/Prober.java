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
 * Selects the member that is probed next and tracks the unanswered probes.
 *
 * <p>Every member is probed once in a round, in a random order that changes with each round. Times
 * are nanoseconds. Not safe for use by several threads.
 */
final class Prober {
  private final MembershipSettings settings;
  private final Random random;
  private final List<HostName> order = new ArrayList<>();
  private final Map<Long, Probe> probes = new HashMap<>();
  private final Map<Long, RelayedProbe> relayedProbes = new HashMap<>();
  private int position;
  private long sequence;
  private long nextProbeAt;

  Prober(MembershipSettings settings, Random random, long now) {
    this.settings = settings;
    this.random = random;
    this.nextProbeAt = now + (long) (random.nextDouble() * settings.probePeriodNanos());
  }

  /** An unanswered probe. */
  record Probe(Member target, long sequence, long indirectAt, long failAt, boolean indirectSent) {
    private long deadline() {
      return indirectSent ? failAt : indirectAt;
    }
  }

  /** A probe on behalf of another node. */
  record RelayedProbe(NodeAddress requester, long sequence, NodeId target, long expiresAt) {}

  long nextDeadline() {
    long deadline = nextProbeAt;
    for (Probe probe : probes.values()) {
      deadline = Math.min(deadline, probe.deadline());
    }
    return deadline;
  }

  boolean isDue(long now) {
    return nextProbeAt <= now;
  }

  /** Selects the next target and records its probe as sent. Empty if no peer is present. */
  Optional<Probe> next(long now, MemberTable table) {
    nextProbeAt = Math.max(nextProbeAt + settings.probePeriodNanos(), now);
    relayedProbes.values().removeIf(relayed -> relayed.expiresAt() <= now);
    Optional<Member> target = nextTarget(table);
    if (target.isEmpty()) {
      return Optional.empty();
    }
    Probe probe =
        new Probe(
            target.get(),
            ++sequence,
            now + settings.directTimeoutNanos(),
            now + settings.probeTimeoutNanos(),
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

  /** Inserts a new member at a random position in the remaining part of the round. */
  void addToRound(HostName host) {
    order.add(position + random.nextInt(order.size() - position + 1), host);
  }

  /** Returns the probes whose indirect probes are due now, and marks them as sent. */
  List<Probe> takeIndirectDue(long now) {
    List<Probe> due = new ArrayList<>();
    for (Map.Entry<Long, Probe> entry : probes.entrySet()) {
      Probe probe = entry.getValue();
      if (!probe.indirectSent() && probe.indirectAt() <= now) {
        due.add(probe);
        entry.setValue(
            new Probe(probe.target(), probe.sequence(), probe.indirectAt(), probe.failAt(), true));
      }
    }
    return due;
  }

  /** Removes and returns the probes that were not answered in time. */
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

  /** Removes the probe that an answer belongs to. */
  void onAck(long sequence, NodeId target) {
    Probe probe = probes.get(sequence);
    if (probe != null && probe.target().id().equals(target)) {
      probes.remove(sequence);
    }
  }

  /**
   * Records the node that requested a probe, so that an answer of the target can be passed on to
   * it. Returns the sequence of the ping.
   */
  long relayProbe(NodeAddress requester, long requestSequence, NodeId target, long now) {
    long ownSequence = ++sequence;
    relayedProbes.put(
        ownSequence,
        new RelayedProbe(requester, requestSequence, target, now + settings.probeTimeoutNanos()));
    return ownSequence;
  }

  Optional<RelayedProbe> takeRelayedProbe(long sequence, NodeId target) {
    RelayedProbe relayed = relayedProbes.get(sequence);
    if (relayed == null || !relayed.target().equals(target)) {
      return Optional.empty();
    }
    return Optional.of(relayedProbes.remove(sequence));
  }

  /** Postpones the deadlines of all probes, after a pause of this process. */
  void postpone(long delayNanos) {
    probes.replaceAll(
        (number, probe) ->
            new Probe(
                probe.target(),
                probe.sequence(),
                probe.indirectAt() + delayNanos,
                probe.failAt() + delayNanos,
                probe.indirectSent()));
  }
}
