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
import org.larkkeel.peer.transport.LeaseBatch;

/**
 * Manages the slots and rate limits of one node and the batches that carry both to peers.
 *
 * <p>Runs on the core thread only. Times are nanoseconds.
 */
final class LeaseManager {
  private final NodeId self;
  private final long flushPeriodNanos;
  private final Outbox outbox;
  private final Owners owners;
  private final SlotManager slots;
  private final LimitManager limits;
  private boolean closed;
  private long nextFlushAt = Long.MIN_VALUE;

  LeaseManager(NodeId self, LeaseSettings settings) {
    this.self = self;
    this.flushPeriodNanos = settings.flushPeriodNanos();
    this.outbox = new Outbox(self, settings.retryDelayNanos());
    this.owners = new Owners(self);
    this.slots = new SlotManager(self, settings.slots(), owners, outbox);
    this.limits = new LimitManager(self, flushPeriodNanos, owners, outbox);
  }

  void acquireSlot(
      long now, SlotLease lease, int priority, long deadline, CompletableFuture<SlotLease> result) {
    if (closed) {
      result.completeExceptionally(stopping());
      return;
    }
    slots.acquire(now, lease, priority, deadline, result);
  }

  void releaseSlot(long now, SlotLease lease) {
    slots.release(now, lease);
  }

  void acquireLimit(
      long now,
      String workspace,
      long id,
      long tokens,
      long deadline,
      CompletableFuture<LimitDecision> result) {
    if (closed) {
      result.completeExceptionally(stopping());
      return;
    }
    limits.acquire(now, workspace, id, tokens, deadline, result);
  }

  void updateCapacity(long now, String key, int slotCount, int running) {
    slots.updateCapacity(now, key, slotCount, running);
  }

  void setLimits(long now, Map<String, RateLimit> rates, Map<String, Integer> capacities) {
    limits.setRates(now, rates);
    slots.setFixedCapacities(now, capacities);
  }

  /** Sets the owners; holders of keys whose owner changed report to the new owner. */
  void ownersChanged(long now, Set<HostName> newOwners) {
    Predicate<String> changed = owners.replace(newOwners);
    slots.ownersChanged(now, changed);
    limits.ownersChanged(changed);
  }

  void removeNode(long now, NodeId node) {
    slots.removeNode(now, node);
    limits.removeNode(node);
    outbox.remove(node.host());
  }

  long nextDeadline() {
    boolean needsFlush = slots.hasHolders() || limits.hasHolders() || outbox.hasPending();
    return Math.min(needsFlush ? nextFlushAt : Long.MAX_VALUE, slots.nextDeadline());
  }

  /** Does the work that is due and returns the batches to send. */
  Map<HostName, LeaseBatch> tick(long now) {
    slots.tick(now);
    if (nextFlushAt > now) {
      return Map.of();
    }
    nextFlushAt = now + flushPeriodNanos;
    slots.flush(now);
    limits.flush(now);
    return outbox.takeReady(now);
  }

  /** Answers a batch of a peer; grants for other nodes are sent with the next flush. */
  LeaseBatch answer(long now, LeaseBatch batch) {
    LeaseBatch reply = LeaseBatch.empty(self);
    NodeId sender = batch.sender();
    batch.slotGrants().forEach(grant -> slots.onGrant(now, sender, grant));
    slots.answerReports(now, sender, batch.slotReports(), reply.slotGrants());
    limits.answerRequests(now, sender, batch.limitRequests(), reply.limitGrants());
    return reply;
  }

  void onReply(long now, HostName peer, LeaseBatch sent, LeaseBatch reply) {
    outbox.onDelivered(peer);
    reply.slotGrants().forEach(grant -> slots.onGrant(now, reply.sender(), grant));
    limits.onRequestsAnswered(now, sent.limitRequests(), reply.limitGrants());
    slots.onReportsAnswered(sent.slotReports(), reply.slotGrants());
  }

  /**
   * Records that a batch was not sent because the peer is not present; other nodes own its keys
   * now.
   */
  void onPeerNotPresent(long now, HostName peer, LeaseBatch sent) {
    onFailure(now, peer, sent);
    outbox.remove(peer);
  }

  void onFailure(long now, HostName peer, LeaseBatch sent) {
    outbox.onFailure(peer, now);
    if (!sent.slotGrants().isEmpty()) {
      outbox.pending(peer).slotGrants().addAll(sent.slotGrants());
    }
    slots.onReportsLost(sent.slotReports());
    limits.onRequestsLost(now, sent.limitRequests());
  }

  /** Fails all pending results and rejects new requests. */
  void close() {
    closed = true;
    List<CompletableFuture<?>> pendingResults = new ArrayList<>(slots.takePendingResults());
    pendingResults.addAll(limits.takePendingResults());
    for (CompletableFuture<?> pending : pendingResults) {
      pending.completeExceptionally(stopping());
    }
  }

  private static LarkkeelException stopping() {
    return new LarkkeelException(ErrorKind.NOT_READY, "this node is stopping");
  }
}
