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
 * Manages the slots of one node, as holder and as owner, and the pending requests.
 *
 * <p>Runs on the core thread only. Times are nanoseconds.
 */
final class SlotManager {
  private final NodeId self;
  private final SlotSettings settings;
  private final Owners owners;
  private final Outbox outbox;
  private final Map<String, SlotHolder> holders = new HashMap<>();
  private final Map<String, SlotOwner> ownedSlots = new HashMap<>();
  private final Map<Long, CompletableFuture<SlotLease>> pendingResults = new HashMap<>();
  private Map<String, Integer> fixedCapacities = Map.of();

  SlotManager(NodeId self, SlotSettings settings, Owners owners, Outbox outbox) {
    this.self = self;
    this.settings = settings;
    this.owners = owners;
    this.outbox = outbox;
  }

  void acquire(
      long now, SlotLease lease, int priority, long deadline, CompletableFuture<SlotLease> result) {
    pendingResults.put(lease.id(), result);
    SlotHolder holder =
        holders.computeIfAbsent(lease.key(), key -> new SlotHolder(key, settings, now));
    complete(lease.key(), holder.acquire(now, lease.id(), priority, deadline));
  }

  void release(long now, SlotLease lease) {
    pendingResults.remove(lease.id());
    SlotHolder holder = holders.get(lease.key());
    if (holder != null) {
      complete(lease.key(), holder.release(now, lease.id()));
    }
  }

  void updateCapacity(long now, String key, int slots, int running) {
    if (owners.isOwnedBySelf(key)) {
      deliver(now, key, ownedSlotsFor(key, now).on(new SlotEvent.Capacity(now, slots, running)));
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
    ownedSlots.keySet().removeIf(key -> !owners.isOwnedBySelf(key));
  }

  void removeNode(long now, NodeId node) {
    for (String key : List.copyOf(ownedSlots.keySet())) {
      deliver(now, key, ownedSlots.get(key).on(new SlotEvent.HolderDead(now, node)));
    }
  }

  /** Returns whether this node holds or waits for slots, so that it has to report them. */
  boolean hasHolders() {
    return !holders.isEmpty();
  }

  /** Returns the time when {@link #tick} is due for the owned slots. */
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

  /** Reports the held and requested slots to their owners. */
  void flush(long now) {
    for (String key : List.copyOf(holders.keySet())) {
      flush(now, key);
    }
  }

  private void flush(long now, String key) {
    SlotHolder holder = holders.get(key);
    complete(key, holder.tick(now));
    HostName owner = owners.ownerOf(key);
    if (!outbox.isReady(owner, now)) {
      return;
    }
    Optional<SlotReport> report = holder.report(now);
    if (report.isEmpty()) {
      if (holder.isIdle()) {
        holders.remove(key);
      }
    } else if (owner.equals(self.host())) {
      deliver(now, key, onReport(now, self, report.get()));
    } else {
      outbox.pending(owner).slotReports().add(report.get());
    }
  }

  /**
   * Handles the reports of a peer and adds the grants for this peer to the reply; grants for other
   * nodes wait for the next flush.
   */
  void answerReports(long now, NodeId sender, List<SlotReport> reports, List<SlotGrant> reply) {
    for (SlotReport report : reports) {
      if (!owners.isOwnedBySelf(report.key())) {
        continue;
      }
      for (SlotOwner.AddressedGrant addressed : onReport(now, sender, report)) {
        if (addressed.holder().equals(sender)) {
          reply.add(addressed.grant());
        } else {
          deliver(now, report.key(), List.of(addressed));
        }
      }
    }
  }

  void onGrant(long now, NodeId from, SlotGrant grant) {
    SlotHolder holder = holders.get(grant.key());
    if (holder != null && owners.isOwner(from.host(), grant.key())) {
      complete(grant.key(), holder.onGrant(now, grant));
    }
  }

  /** Records the reply to reports; reports without a grant for their key count as lost. */
  void onReportsAnswered(List<SlotReport> sent, List<SlotGrant> grants) {
    Set<String> answeredKeys = new HashSet<>();
    grants.forEach(grant -> answeredKeys.add(grant.key()));
    for (SlotReport report : sent) {
      if (!answeredKeys.contains(report.key())) {
        onReportLost(report);
      }
    }
  }

  void onReportsLost(List<SlotReport> sent) {
    sent.forEach(this::onReportLost);
  }

  private void onReportLost(SlotReport report) {
    SlotHolder holder = holders.get(report.key());
    if (holder != null) {
      holder.reportLost();
    }
  }

  private List<SlotOwner.AddressedGrant> onReport(long now, NodeId holder, SlotReport report) {
    return ownedSlotsFor(report.key(), now).on(new SlotEvent.Reported(now, holder, report));
  }

  private SlotOwner ownedSlotsFor(String key, long now) {
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

  private void deliver(long now, String key, List<SlotOwner.AddressedGrant> addressedGrants) {
    for (SlotOwner.AddressedGrant addressed : addressedGrants) {
      if (addressed.holder().equals(self)) {
        onGrant(now, self, addressed.grant());
      } else {
        outbox.pending(addressed.holder().host()).slotGrants().add(addressed.grant());
      }
    }
  }

  private void complete(String key, List<SlotHolder.Outcome> outcomes) {
    for (SlotHolder.Outcome outcome : outcomes) {
      CompletableFuture<SlotLease> pending = pendingResults.remove(outcome.id());
      if (pending == null) {
        continue;
      }
      if (outcome.result() == SlotHolder.Result.ACQUIRED) {
        pending.complete(new SlotLease(key, outcome.id()));
      } else {
        pending.completeExceptionally(
            new LarkkeelException(
                ErrorKind.OVERLOADED, "no slot of " + key + " became free in time"));
      }
    }
  }

  /** Removes and returns all pending results. */
  List<CompletableFuture<SlotLease>> takePendingResults() {
    List<CompletableFuture<SlotLease>> all = List.copyOf(pendingResults.values());
    pendingResults.clear();
    return all;
  }
}
