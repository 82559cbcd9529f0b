/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.errors.LarkkeelException;
import org.larkkeel.lib.HostName;
import org.larkkeel.peer.limits.RateLimit;
import org.larkkeel.peer.membership.NodeId;
import org.larkkeel.peer.transport.Leases;

/**
 * Slots and limits of one node, and the batches in which peers are told of both.
 *
 * <p>Runs on the core thread only. Times are nanoseconds.
 */
final class LeaseDesk {
  private final NodeId self;
  private final long flushPeriod;
  private final Outbox outbox;
  private final Owners owners;
  private final SlotDesk slots;
  private final LimitDesk limits;
  private boolean closed;
  private long nextFlush = Long.MIN_VALUE;

  LeaseDesk(NodeId self, LeaseSettings settings) {
    this.self = self;
    this.flushPeriod = settings.flush();
    this.outbox = new Outbox(self, settings.failurePause());
    this.owners = new Owners(self);
    this.slots = new SlotDesk(self, settings.slots(), owners, outbox);
    this.limits = new LimitDesk(self, flushPeriod, owners, outbox);
  }

  void acquireSlot(
      long now, SlotLease lease, int priority, long until, CompletableFuture<SlotLease> result) {
    if (closed) {
      result.completeExceptionally(stopping());
      return;
    }
    slots.acquire(now, lease, priority, until, result);
  }

  void releaseSlot(long now, SlotLease lease) {
    slots.release(now, lease);
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
    limits.acquire(now, workspace, id, tokens, until, result);
  }

  void updateCapacity(long now, String key, int count, int running) {
    slots.updateCapacity(now, key, count, running);
  }

  void setLimits(long now, Map<String, RateLimit> rates, Map<String, Integer> capacities) {
    limits.setRates(now, rates);
    slots.setFixedCapacities(now, capacities);
  }

  /** Takes a new set of owners; holders turn to the new owners of what they hold. */
  void ownersChanged(long now, Set<HostName> next) {
    Predicate<String> changed = owners.change(next);
    slots.ownersChanged(now, changed);
    limits.ownersChanged(changed);
  }

  void nodeGone(long now, NodeId node) {
    slots.nodeGone(now, node);
    limits.nodeGone(node);
    outbox.forget(node.host());
  }

  long nextDeadline() {
    boolean flushes = slots.hasHolders() || limits.hasHolders() || outbox.hasPending();
    return Math.min(flushes ? nextFlush : Long.MAX_VALUE, slots.nextDeadline());
  }

  /** Does what is due, and returns the batches to send. */
  Map<HostName, Leases> tick(long now) {
    slots.tick(now);
    if (nextFlush > now) {
      return Map.of();
    }
    nextFlush = now + flushPeriod;
    slots.flush(now);
    limits.flush(now);
    return outbox.take(now);
  }

  /** Answers a batch of a peer; grants for third nodes go out with the next flush. */
  Leases received(long now, Leases batch) {
    Leases reply = Leases.of(self);
    NodeId sender = batch.sender();
    batch.grants().forEach(grant -> slots.granted(now, sender, grant));
    slots.answerReports(now, sender, batch.reports(), reply.grants());
    limits.answerAsks(now, sender, batch.asks(), reply.limits());
    return reply;
  }

  void replied(long now, HostName peer, Leases sent, Leases reply) {
    outbox.delivered(peer);
    reply.grants().forEach(grant -> slots.granted(now, reply.sender(), grant));
    limits.asksAnswered(now, sent.asks(), reply.limits());
    slots.reportsAnswered(sent.reports(), reply.grants());
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
    slots.reportsLost(sent.reports());
    limits.asksLost(now, sent.asks());
  }

  /** Fails all that waits. */
  void close() {
    closed = true;
    List<CompletableFuture<?>> waits = new ArrayList<>(slots.takeWaits());
    waits.addAll(limits.takeWaits());
    for (CompletableFuture<?> wait : waits) {
      wait.completeExceptionally(stopping());
    }
  }

  private static LarkkeelException stopping() {
    return new LarkkeelException(ErrorKind.NOT_READY, "this node is stopping");
  }
}
