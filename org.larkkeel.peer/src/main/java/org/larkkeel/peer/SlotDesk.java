/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.errors.LarkkeelException;
import org.larkkeel.lib.HostName;
import org.larkkeel.peer.membership.NodeId;
import org.larkkeel.peer.slots.SlotEvent;
import org.larkkeel.peer.slots.SlotGrant;
import org.larkkeel.peer.slots.SlotHolder;
import org.larkkeel.peer.slots.SlotOwner;
import org.larkkeel.peer.slots.SlotReport;
import org.larkkeel.peer.slots.SlotSettings;

/**
 * The slots of one node, as holder and as owner, and who waits for them.
 *
 * <p>Runs on the core thread only. Times are nanoseconds.
 */
final class SlotDesk {
  private final NodeId self;
  private final SlotSettings settings;
  private final Owners owners;
  private final Outbox outbox;
  private final Map<String, SlotHolder> holders = new HashMap<>();
  private final Map<String, SlotOwner> ownedSlots = new HashMap<>();
  private final Map<Long, CompletableFuture<SlotLease>> waits = new HashMap<>();
  private Map<String, Integer> fixedCapacities = Map.of();

  SlotDesk(NodeId self, SlotSettings settings, Owners owners, Outbox outbox) {
    this.self = self;
    this.settings = settings;
    this.owners = owners;
    this.outbox = outbox;
  }

  void acquire(
      long now, SlotLease lease, int priority, long until, CompletableFuture<SlotLease> result) {
    waits.put(lease.id(), result);
    SlotHolder holder =
        holders.computeIfAbsent(lease.key(), key -> new SlotHolder(key, settings, now));
    finish(lease.key(), holder.acquire(now, lease.id(), priority, until));
  }

  void release(long now, SlotLease lease) {
    waits.remove(lease.id());
    SlotHolder holder = holders.get(lease.key());
    if (holder != null) {
      finish(lease.key(), holder.release(now, lease.id()));
    }
  }

  void updateCapacity(long now, String key, int slots, int running) {
    if (owners.isSelf(key)) {
      deliver(now, key, owned(key, now).on(new SlotEvent.Capacity(now, slots, running)));
    }
  }

  void setFixedCapacities(long now, Map<String, Integer> capacities) {
    fixedCapacities = Map.copyOf(capacities);
    fixedCapacities.forEach(
        (key, slots) -> {
          if (ownedSlots.containsKey(key)) {
            updateCapacity(now, key, slots, 0);
          }
        });
  }

  void ownersChanged(long now, Predicate<String> changed) {
    holders.forEach(
        (key, holder) -> {
          if (changed.test(key)) {
            holder.ownerChanged(now);
          }
        });
    ownedSlots.keySet().removeIf(key -> !owners.isSelf(key));
  }

  void nodeGone(long now, NodeId node) {
    for (String key : List.copyOf(ownedSlots.keySet())) {
      deliver(now, key, ownedSlots.get(key).on(new SlotEvent.HolderDead(now, node)));
    }
  }

  /** Tells whether something is held or waited for, so that it has to be reported. */
  boolean hasHolders() {
    return !holders.isEmpty();
  }

  /** When {@link #tick} is due for the owned slots. */
  long nextDeadline() {
    long deadline = Long.MAX_VALUE;
    for (SlotOwner owner : ownedSlots.values()) {
      deadline = Math.min(deadline, owner.nextDeadline());
    }
    return deadline;
  }

  void tick(long now) {
    for (String key : List.copyOf(ownedSlots.keySet())) {
      if (ownedSlots.get(key).nextDeadline() <= now) {
        deliver(now, key, ownedSlots.get(key).on(new SlotEvent.Tick(now)));
      }
    }
  }

  /** Reports all that is held to its owners. */
  void flush(long now) {
    for (String key : List.copyOf(holders.keySet())) {
      flush(now, key);
    }
  }

  private void flush(long now, String key) {
    SlotHolder holder = holders.get(key);
    finish(key, holder.tick(now));
    HostName owner = owners.of(key);
    if (!outbox.isReady(owner, now)) {
      return;
    }
    Optional<SlotReport> report = holder.report(now);
    if (report.isEmpty()) {
      if (holder.isIdle()) {
        holders.remove(key);
      }
    } else if (owner.equals(self.host())) {
      deliver(now, key, reported(now, self, report.get()));
    } else {
      outbox.pending(owner).reports().add(report.get());
    }
  }

  /** Takes the reports of a peer, and adds the grants for it; those for third nodes wait. */
  void answerReports(long now, NodeId sender, List<SlotReport> reports, List<SlotGrant> reply) {
    for (SlotReport report : reports) {
      if (!owners.isSelf(report.key())) {
        continue;
      }
      for (SlotOwner.Answer answer : reported(now, sender, report)) {
        if (answer.holder().equals(sender)) {
          reply.add(answer.grant());
        } else {
          deliver(now, report.key(), List.of(answer));
        }
      }
    }
  }

  void granted(long now, NodeId from, SlotGrant grant) {
    SlotHolder holder = holders.get(grant.key());
    if (holder != null && owners.isOwner(from.host(), grant.key())) {
      finish(grant.key(), holder.granted(now, grant));
    }
  }

  /** Takes note that reports were sent, and which grants came back. */
  void reportsAnswered(List<SlotReport> sent, List<SlotGrant> grants) {
    Set<String> granted = new HashSet<>();
    grants.forEach(grant -> granted.add(grant.key()));
    for (SlotReport report : sent) {
      if (!granted.contains(report.key())) {
        reportLost(report);
      }
    }
  }

  void reportsLost(List<SlotReport> sent) {
    sent.forEach(this::reportLost);
  }

  private void reportLost(SlotReport report) {
    SlotHolder holder = holders.get(report.key());
    if (holder != null) {
      holder.reportLost();
    }
  }

  private List<SlotOwner.Answer> reported(long now, NodeId holder, SlotReport report) {
    return owned(report.key(), now).on(new SlotEvent.Reported(now, holder, report));
  }

  private SlotOwner owned(String key, long now) {
    SlotOwner known = ownedSlots.get(key);
    if (known != null) {
      return known;
    }
    SlotOwner owner = new SlotOwner(key, settings, now);
    Integer fixed = fixedCapacities.get(key);
    if (fixed != null) {
      owner.on(new SlotEvent.Capacity(now, fixed, 0));
    }
    ownedSlots.put(key, owner);
    return owner;
  }

  private void deliver(long now, String key, List<SlotOwner.Answer> answers) {
    for (SlotOwner.Answer answer : answers) {
      if (answer.holder().equals(self)) {
        granted(now, self, answer.grant());
      } else {
        outbox.pending(answer.holder().host()).grants().add(answer.grant());
      }
    }
  }

  private void finish(String key, List<SlotHolder.Outcome> outcomes) {
    for (SlotHolder.Outcome outcome : outcomes) {
      CompletableFuture<SlotLease> wait = waits.remove(outcome.id());
      if (wait == null) {
        continue;
      }
      if (outcome.result() == SlotHolder.Result.ACQUIRED) {
        wait.complete(new SlotLease(key, outcome.id()));
      } else {
        wait.completeExceptionally(
            new LarkkeelException(
                ErrorKind.OVERLOADED, "no slot of " + key + " became free in time"));
      }
    }
  }

  /** Takes away all that waits. */
  List<CompletableFuture<SlotLease>> takeWaits() {
    List<CompletableFuture<SlotLease>> all = List.copyOf(waits.values());
    waits.clear();
    return all;
  }
}
