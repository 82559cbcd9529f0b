/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.errors.LarkkeelException;
import org.larkkeel.lib.HostName;
import org.larkkeel.peer.limits.LimitAsk;
import org.larkkeel.peer.limits.LimitGrant;
import org.larkkeel.peer.limits.LimitHolder;
import org.larkkeel.peer.limits.LimitOwner;
import org.larkkeel.peer.limits.RateLimit;
import org.larkkeel.peer.membership.NodeId;
import org.larkkeel.peer.ownership.Ownership;
import org.larkkeel.peer.slots.SlotEvent;
import org.larkkeel.peer.slots.SlotGrant;
import org.larkkeel.peer.slots.SlotHolder;
import org.larkkeel.peer.slots.SlotOwner;
import org.larkkeel.peer.slots.SlotReport;
import org.larkkeel.peer.transport.Leases;

/**
 * Slots and limits of one node, as holder and as owner, and what they have to say to peers.
 *
 * <p>Runs on the core thread only. Times are nanoseconds.
 */
final class LeaseDesk {
  private final NodeId self;
  private final LeaseSettings settings;
  private final Outbox outbox;
  private final Map<String, SlotHolder> slotHolders = new HashMap<>();
  private final Map<String, SlotOwner> slotOwners = new HashMap<>();
  private final Map<String, LimitHolder> limitHolders = new HashMap<>();
  private final Map<String, LimitOwner> limitOwners = new HashMap<>();
  private final Map<String, LimitOwner> fallbackOwners = new HashMap<>();
  private final Map<Long, CompletableFuture<SlotLease>> slotWaits = new HashMap<>();
  private final Map<Long, CompletableFuture<LimitDecision>> limitWaits = new HashMap<>();
  private Map<String, RateLimit> rates = Map.of();
  private Map<String, Integer> fixedCapacities = Map.of();
  private Ownership ownership;
  private int nodes = 1;
  private boolean closed;
  private long nextFlush = Long.MIN_VALUE;

  LeaseDesk(NodeId self, LeaseSettings settings) {
    this.self = self;
    this.settings = settings;
    this.outbox = new Outbox(self, settings.failurePause());
    this.ownership = new Ownership(Set.of(self.host()));
  }

  boolean owns(String key) {
    return ownership.ownerOf(key).filter(self.host()::equals).isPresent();
  }

  void acquireSlot(
      long now, SlotLease lease, int priority, long until, CompletableFuture<SlotLease> result) {
    if (closed) {
      result.completeExceptionally(stopping());
      return;
    }
    slotWaits.put(lease.id(), result);
    SlotHolder holder =
        slotHolders.computeIfAbsent(lease.key(), key -> new SlotHolder(key, settings.slots(), now));
    finishSlots(lease.key(), holder.acquire(now, lease.id(), priority, until));
  }

  void releaseSlot(long now, SlotLease lease) {
    slotWaits.remove(lease.id());
    SlotHolder holder = slotHolders.get(lease.key());
    if (holder != null) {
      finishSlots(lease.key(), holder.release(now, lease.id()));
    }
  }

  void acquireLimit(
      long now,
      String workspace,
      long id,
      long tokens,
      long until,
      CompletableFuture<LimitDecision> result) {
    if (closed) {
      result.completeExceptionally(stopping());
      return;
    }
    if (!rates.containsKey(workspace)) {
      result.complete(new LimitDecision(true, Duration.ZERO));
      return;
    }
    limitWaits.put(id, result);
    LimitHolder holder = limitHolders.computeIfAbsent(workspace, key -> new LimitHolder(key, now));
    finishLimits(holder.acquire(now, id, tokens, until));
  }

  void updateCapacity(long now, String key, int slots, int running) {
    if (owns(key)) {
      deliver(now, key, owner(key, now).on(new SlotEvent.Capacity(now, slots, running)));
    }
  }

  void setLimits(long now, Map<String, RateLimit> nextRates, Map<String, Integer> capacities) {
    rates = Map.copyOf(nextRates);
    fixedCapacities = Map.copyOf(capacities);
    limitOwners.keySet().retainAll(rates.keySet());
    limitOwners.forEach((workspace, owner) -> owner.setLimit(rates.get(workspace), now));
    fallbackOwners.clear();
    fixedCapacities.forEach(
        (key, slots) -> {
          if (slotOwners.containsKey(key)) {
            updateCapacity(now, key, slots, 0);
          }
        });
  }

  /** Takes a new set of owners; holders turn to the new owners of what they hold. */
  void ownersChanged(long now, Set<HostName> owners) {
    final Ownership before = ownership;
    ownership = new Ownership(owners);
    nodes = Math.max(1, owners.size());
    fallbackOwners.clear();
    slotHolders.forEach(
        (key, holder) -> {
          if (!before.ownerOf(key).equals(ownership.ownerOf(key))) {
            holder.ownerChanged(now);
          }
        });
    limitHolders.forEach(
        (key, holder) -> {
          if (!before.ownerOf(key).equals(ownership.ownerOf(key))) {
            holder.ownerChanged();
          }
        });
    slotOwners.keySet().removeIf(key -> !owns(key));
    limitOwners.keySet().removeIf(key -> !owns(key));
  }

  void nodeGone(long now, NodeId node) {
    for (String key : List.copyOf(slotOwners.keySet())) {
      deliver(now, key, slotOwners.get(key).on(new SlotEvent.HolderDead(now, node)));
    }
    limitOwners.values().forEach(owner -> owner.forget(node));
    outbox.forget(node.host());
  }

  long nextDeadline() {
    long deadline = Long.MAX_VALUE;
    if (!slotHolders.isEmpty() || !limitHolders.isEmpty() || outbox.hasPending()) {
      deadline = nextFlush;
    }
    for (SlotOwner owner : slotOwners.values()) {
      deadline = Math.min(deadline, owner.nextDeadline());
    }
    return deadline;
  }

  /** Does what is due, and returns the batches to send. */
  Map<HostName, Leases> tick(long now) {
    for (String key : List.copyOf(slotOwners.keySet())) {
      if (slotOwners.get(key).nextDeadline() <= now) {
        deliver(now, key, slotOwners.get(key).on(new SlotEvent.Tick(now)));
      }
    }
    if (nextFlush > now) {
      return Map.of();
    }
    nextFlush = now + settings.flush();
    for (String key : List.copyOf(slotHolders.keySet())) {
      flushSlots(now, key);
    }
    for (String workspace : List.copyOf(limitHolders.keySet())) {
      flushLimits(now, workspace);
    }
    return outbox.take(now);
  }

  private void flushSlots(long now, String key) {
    SlotHolder holder = slotHolders.get(key);
    finishSlots(key, holder.tick(now));
    HostName owner = ownership.ownerOf(key).orElse(self.host());
    if (!outbox.isReady(owner, now)) {
      return;
    }
    Optional<SlotReport> report = holder.report(now);
    if (report.isEmpty()) {
      if (holder.isIdle()) {
        slotHolders.remove(key);
      }
    } else if (owner.equals(self.host())) {
      deliver(now, key, reported(now, self, report.get()));
    } else {
      outbox.pending(owner).reports().add(report.get());
    }
  }

  private void flushLimits(long now, String workspace) {
    LimitHolder holder = limitHolders.get(workspace);
    finishLimits(holder.tick(now));
    HostName owner = ownership.ownerOf(workspace).orElse(self.host());
    if (!outbox.isReady(owner, now)) {
      return;
    }
    Optional<LimitAsk> ask = holder.ask(now, settings.flush());
    if (ask.isEmpty()) {
      if (holder.isIdle()) {
        limitHolders.remove(workspace);
      }
    } else if (owner.equals(self.host())) {
      finishLimits(holder.granted(now, asked(now, self, ask.get())));
    } else {
      outbox.pending(owner).asks().add(ask.get());
    }
  }

  /** Answers a batch of a peer; grants for third nodes go out with the next flush. */
  Leases received(long now, Leases batch) {
    Leases reply = Leases.of(self);
    NodeId sender = batch.sender();
    batch.grants().forEach(grant -> slotGranted(now, sender, grant));
    for (SlotReport report : batch.reports()) {
      if (owns(report.key())) {
        for (SlotOwner.Answer answer : reported(now, sender, report)) {
          if (answer.holder().equals(sender)) {
            reply.grants().add(answer.grant());
          } else {
            deliver(now, report.key(), List.of(answer));
          }
        }
      }
    }
    for (LimitAsk ask : batch.asks()) {
      if (owns(ask.workspace())) {
        reply.limits().add(asked(now, sender, ask));
      }
    }
    return reply;
  }

  void replied(long now, HostName peer, Leases sent, Leases reply) {
    outbox.delivered(peer);
    reply.grants().forEach(grant -> slotGranted(now, reply.sender(), grant));
    Set<String> answered = new HashSet<>();
    for (LimitGrant grant : reply.limits()) {
      answered.add(grant.workspace());
      LimitHolder holder = limitHolders.get(grant.workspace());
      if (holder != null) {
        finishLimits(holder.granted(now, grant));
      }
    }
    // A peer that does not see itself as the owner does not answer.
    for (LimitAsk ask : sent.asks()) {
      LimitHolder holder = limitHolders.get(ask.workspace());
      if (holder != null && !answered.contains(ask.workspace())) {
        holder.askLost();
      }
    }
    Set<String> granted = new HashSet<>();
    reply.grants().forEach(grant -> granted.add(grant.key()));
    for (SlotReport report : sent.reports()) {
      if (!granted.contains(report.key()) && slotHolders.containsKey(report.key())) {
        slotHolders.get(report.key()).reportLost();
      }
    }
  }

  /** The peer is not there any more; another node owns what it owned. */
  void undeliverable(long now, HostName peer, Leases sent) {
    failed(now, peer, sent);
    outbox.forget(peer);
  }

  void failed(long now, HostName peer, Leases sent) {
    outbox.failed(peer, now);
    if (!sent.grants().isEmpty()) {
      outbox.pending(peer).grants().addAll(sent.grants());
    }
    for (SlotReport report : sent.reports()) {
      SlotHolder holder = slotHolders.get(report.key());
      if (holder != null) {
        holder.reportLost();
      }
    }
    // An unreachable owner must not stop a workspace: each node has its share until another owns
    // it.
    for (LimitAsk ask : sent.asks()) {
      LimitHolder holder = limitHolders.get(ask.workspace());
      if (holder != null) {
        finishLimits(holder.granted(now, fallback(now, ask)));
      }
    }
  }

  private LimitGrant fallback(long now, LimitAsk ask) {
    RateLimit limit = rates.get(ask.workspace());
    if (limit == null) {
      return unlimited(ask);
    }
    RateLimit share =
        new RateLimit(
            Math.max(1, limit.requestsPerSecond() / nodes),
            Math.max(1, limit.tokensPerSecond() / nodes));
    return fallbackOwners
        .computeIfAbsent(ask.workspace(), key -> new LimitOwner(share, now))
        .ask(now, self, ask);
  }

  private LimitGrant asked(long now, NodeId holder, LimitAsk ask) {
    RateLimit limit = rates.get(ask.workspace());
    if (limit == null) {
      return unlimited(ask);
    }
    return limitOwners
        .computeIfAbsent(ask.workspace(), key -> new LimitOwner(limit, now))
        .ask(now, holder, ask);
  }

  private static LimitGrant unlimited(LimitAsk ask) {
    return new LimitGrant(
        ask.workspace(), ask.sequence(), ask.requestsWanted(), ask.tokensWanted(), 0);
  }

  private List<SlotOwner.Answer> reported(long now, NodeId holder, SlotReport report) {
    return owner(report.key(), now).on(new SlotEvent.Reported(now, holder, report));
  }

  private SlotOwner owner(String key, long now) {
    SlotOwner known = slotOwners.get(key);
    if (known != null) {
      return known;
    }
    SlotOwner owner = new SlotOwner(key, settings.slots(), now);
    Integer fixed = fixedCapacities.get(key);
    if (fixed != null) {
      owner.on(new SlotEvent.Capacity(now, fixed, 0));
    }
    slotOwners.put(key, owner);
    return owner;
  }

  private void deliver(long now, String key, List<SlotOwner.Answer> answers) {
    for (SlotOwner.Answer answer : answers) {
      if (answer.holder().equals(self)) {
        slotGranted(now, self, answer.grant());
      } else {
        outbox.pending(answer.holder().host()).grants().add(answer.grant());
      }
    }
  }

  private void slotGranted(long now, NodeId from, SlotGrant grant) {
    SlotHolder holder = slotHolders.get(grant.key());
    boolean current = ownership.ownerOf(grant.key()).filter(from.host()::equals).isPresent();
    if (holder != null && current) {
      finishSlots(grant.key(), holder.granted(now, grant));
    }
  }

  private void finishSlots(String key, List<SlotHolder.Outcome> outcomes) {
    for (SlotHolder.Outcome outcome : outcomes) {
      CompletableFuture<SlotLease> wait = slotWaits.remove(outcome.id());
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

  private void finishLimits(List<LimitHolder.Outcome> outcomes) {
    for (LimitHolder.Outcome outcome : outcomes) {
      CompletableFuture<LimitDecision> wait = limitWaits.remove(outcome.id());
      if (wait != null) {
        Duration retryAfter = Duration.ofNanos(outcome.retryAfter());
        wait.complete(new LimitDecision(outcome.admitted(), retryAfter));
      }
    }
  }

  /** Fails all that waits. */
  void close() {
    closed = true;
    List<CompletableFuture<?>> waits = new ArrayList<>(slotWaits.values());
    waits.addAll(limitWaits.values());
    slotWaits.clear();
    limitWaits.clear();
    for (CompletableFuture<?> wait : waits) {
      wait.completeExceptionally(stopping());
    }
  }

  private static LarkkeelException stopping() {
    return new LarkkeelException(ErrorKind.NOT_READY, "this node is stopping");
  }
}
