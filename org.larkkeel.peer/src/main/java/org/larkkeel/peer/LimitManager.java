/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import org.larkkeel.lib.HostName;
import org.larkkeel.peer.limits.LimitGrant;
import org.larkkeel.peer.limits.LimitHolder;
import org.larkkeel.peer.limits.LimitOwner;
import org.larkkeel.peer.limits.LimitRequest;
import org.larkkeel.peer.limits.RateLimit;
import org.larkkeel.peer.membership.NodeId;

/**
 * Manages the rate limits of one node, as holder and as owner, and the pending requests.
 *
 * <p>Runs on the core thread only. Times are nanoseconds.
 */
final class LimitManager {
  private final NodeId self;
  private final long flushPeriodNanos;
  private final Owners owners;
  private final Outbox outbox;
  private final Map<String, LimitHolder> holders = new HashMap<>();
  private final Map<String, LimitOwner> ownedLimits = new HashMap<>();
  private final Map<String, LimitOwner> localShares = new HashMap<>();
  private final Map<Long, CompletableFuture<LimitDecision>> pendingResults = new HashMap<>();
  private Map<String, RateLimit> rates = Map.of();

  LimitManager(NodeId self, long flushPeriodNanos, Owners owners, Outbox outbox) {
    this.self = self;
    this.flushPeriodNanos = flushPeriodNanos;
    this.owners = owners;
    this.outbox = outbox;
  }

  void acquire(
      long now,
      String workspace,
      long id,
      long tokens,
      long deadline,
      CompletableFuture<LimitDecision> result) {
    if (!rates.containsKey(workspace)) {
      result.complete(new LimitDecision(true, Duration.ZERO));
      return;
    }
    pendingResults.put(id, result);
    LimitHolder holder = holders.computeIfAbsent(workspace, key -> new LimitHolder(key, now));
    complete(holder.acquire(now, id, tokens, deadline));
  }

  void setRates(long now, Map<String, RateLimit> newRates) {
    rates = Map.copyOf(newRates);
    ownedLimits.keySet().retainAll(rates.keySet());
    ownedLimits.forEach((workspace, owner) -> owner.setLimit(rates.get(workspace), now));
    localShares.clear();
  }

  void ownersChanged(Predicate<String> changed) {
    localShares.clear();
    holders.forEach(
        (key, holder) -> {
          if (changed.test(key)) {
            holder.ownerChanged();
          }
        });
    ownedLimits.keySet().removeIf(key -> !owners.isOwnedBySelf(key));
  }

  void removeNode(NodeId node) {
    ownedLimits.values().forEach(owner -> owner.removeHolder(node));
  }

  /** Returns whether this node holds or waits for units of a limit, so that a flush is needed. */
  boolean hasHolders() {
    return !holders.isEmpty();
  }

  /** Sends due requests for units to the owners. */
  void flush(long now) {
    for (String workspace : List.copyOf(holders.keySet())) {
      flush(now, workspace);
    }
  }

  private void flush(long now, String workspace) {
    LimitHolder holder = holders.get(workspace);
    complete(holder.tick(now));
    HostName owner = owners.ownerOf(workspace);
    if (!outbox.isReady(owner, now)) {
      return;
    }
    Optional<LimitRequest> request = holder.nextMessage(now, flushPeriodNanos);
    if (request.isEmpty()) {
      if (holder.isIdle()) {
        holders.remove(workspace);
      }
    } else if (owner.equals(self.host())) {
      complete(holder.onGrant(now, grant(now, self, request.get())));
    } else {
      outbox.pending(owner).limitRequests().add(request.get());
    }
  }

  /**
   * Answers the requests of a peer: adds the grants for the limits that this node owns to the
   * reply.
   */
  void answerRequests(
      long now, NodeId sender, List<LimitRequest> requests, List<LimitGrant> reply) {
    for (LimitRequest request : requests) {
      if (owners.isOwnedBySelf(request.workspace())) {
        reply.add(grant(now, sender, request));
      }
    }
  }

  /** Applies the grants of a reply; requests without a grant count as lost. */
  void onRequestsAnswered(long now, List<LimitRequest> sent, List<LimitGrant> grants) {
    Set<String> answered = new HashSet<>();
    for (LimitGrant grant : grants) {
      answered.add(grant.workspace());
      LimitHolder holder = holders.get(grant.workspace());
      if (holder != null) {
        complete(holder.onGrant(now, grant));
      }
    }
    // A peer that does not consider itself the owner grants nothing.
    for (LimitRequest request : sent) {
      LimitHolder holder = holders.get(request.workspace());
      if (holder != null && !answered.contains(request.workspace())) {
        holder.messageLost();
      }
    }
  }

  /**
   * Answers requests whose owner was not reached. An unreachable owner must not stop a workspace,
   * so each node grants from its share of the limit until another node owns the limit.
   */
  void onRequestsLost(long now, List<LimitRequest> sent) {
    for (LimitRequest request : sent) {
      LimitHolder holder = holders.get(request.workspace());
      if (holder != null) {
        complete(holder.onGrant(now, grantFromLocalShare(now, request)));
      }
    }
  }

  private LimitGrant grantFromLocalShare(long now, LimitRequest request) {
    RateLimit limit = rates.get(request.workspace());
    if (limit == null) {
      return grantAll(request);
    }
    int nodes = owners.count();
    RateLimit share =
        new RateLimit(
            Math.max(1, limit.requestsPerSecond() / nodes),
            Math.max(1, limit.tokensPerSecond() / nodes));
    return localShares
        .computeIfAbsent(request.workspace(), key -> new LimitOwner(share, now))
        .grant(now, self, request);
  }

  private LimitGrant grant(long now, NodeId holder, LimitRequest request) {
    RateLimit limit = rates.get(request.workspace());
    if (limit == null) {
      return grantAll(request);
    }
    return ownedLimits
        .computeIfAbsent(request.workspace(), key -> new LimitOwner(limit, now))
        .grant(now, holder, request);
  }

  private static LimitGrant grantAll(LimitRequest request) {
    return new LimitGrant(
        request.workspace(),
        request.sequence(),
        request.requestsWanted(),
        request.tokensWanted(),
        0);
  }

  private void complete(List<LimitHolder.Outcome> outcomes) {
    for (LimitHolder.Outcome outcome : outcomes) {
      CompletableFuture<LimitDecision> pending = pendingResults.remove(outcome.id());
      if (pending != null) {
        Duration retryAfter = Duration.ofNanos(outcome.retryAfter());
        pending.complete(new LimitDecision(outcome.admitted(), retryAfter));
      }
    }
  }

  /** Removes and returns all pending results. */
  List<CompletableFuture<LimitDecision>> takePendingResults() {
    List<CompletableFuture<LimitDecision>> all = List.copyOf(pendingResults.values());
    pendingResults.clear();
    return all;
  }
}
