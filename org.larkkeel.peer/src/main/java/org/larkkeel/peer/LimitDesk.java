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
import org.larkkeel.peer.limits.LimitAsk;
import org.larkkeel.peer.limits.LimitGrant;
import org.larkkeel.peer.limits.LimitHolder;
import org.larkkeel.peer.limits.LimitOwner;
import org.larkkeel.peer.limits.RateLimit;
import org.larkkeel.peer.membership.NodeId;

/**
 * The rate limits of one node, as holder and as owner, and who waits for them.
 *
 * <p>Runs on the core thread only. Times are nanoseconds.
 */
final class LimitDesk {
  private final NodeId self;
  private final long flushPeriod;
  private final Owners owners;
  private final Outbox outbox;
  private final Map<String, LimitHolder> holders = new HashMap<>();
  private final Map<String, LimitOwner> ownedLimits = new HashMap<>();
  private final Map<String, LimitOwner> fallbacks = new HashMap<>();
  private final Map<Long, CompletableFuture<LimitDecision>> waits = new HashMap<>();
  private Map<String, RateLimit> rates = Map.of();

  LimitDesk(NodeId self, long flushPeriod, Owners owners, Outbox outbox) {
    this.self = self;
    this.flushPeriod = flushPeriod;
    this.owners = owners;
    this.outbox = outbox;
  }

  void acquire(
      long now,
      String workspace,
      long id,
      long tokens,
      long until,
      CompletableFuture<LimitDecision> result) {
    if (!rates.containsKey(workspace)) {
      result.complete(new LimitDecision(true, Duration.ZERO));
      return;
    }
    waits.put(id, result);
    LimitHolder holder = holders.computeIfAbsent(workspace, key -> new LimitHolder(key, now));
    finish(holder.acquire(now, id, tokens, until));
  }

  void setRates(long now, Map<String, RateLimit> next) {
    rates = Map.copyOf(next);
    ownedLimits.keySet().retainAll(rates.keySet());
    ownedLimits.forEach((workspace, owner) -> owner.setLimit(rates.get(workspace), now));
    fallbacks.clear();
  }

  void ownersChanged(Predicate<String> changed) {
    fallbacks.clear();
    holders.forEach(
        (key, holder) -> {
          if (changed.test(key)) {
            holder.ownerChanged();
          }
        });
    ownedLimits.keySet().removeIf(key -> !owners.isSelf(key));
  }

  void nodeGone(NodeId node) {
    ownedLimits.values().forEach(owner -> owner.forget(node));
  }

  /** Tells whether something is held or waited for, so that it has to be asked for. */
  boolean hasHolders() {
    return !holders.isEmpty();
  }

  /** Asks the owners for what is wanted. */
  void flush(long now) {
    for (String workspace : List.copyOf(holders.keySet())) {
      flush(now, workspace);
    }
  }

  private void flush(long now, String workspace) {
    LimitHolder holder = holders.get(workspace);
    finish(holder.tick(now));
    HostName owner = owners.of(workspace);
    if (!outbox.isReady(owner, now)) {
      return;
    }
    Optional<LimitAsk> ask = holder.ask(now, flushPeriod);
    if (ask.isEmpty()) {
      if (holder.isIdle()) {
        holders.remove(workspace);
      }
    } else if (owner.equals(self.host())) {
      finish(holder.granted(now, asked(now, self, ask.get())));
    } else {
      outbox.pending(owner).asks().add(ask.get());
    }
  }

  /** Takes what a peer asks for, and adds the grants for it. */
  void answerAsks(long now, NodeId sender, List<LimitAsk> asks, List<LimitGrant> reply) {
    for (LimitAsk ask : asks) {
      if (owners.isSelf(ask.workspace())) {
        reply.add(asked(now, sender, ask));
      }
    }
  }

  /** Takes note that something was asked for, and which grants came back. */
  void asksAnswered(long now, List<LimitAsk> sent, List<LimitGrant> grants) {
    Set<String> answered = new HashSet<>();
    for (LimitGrant grant : grants) {
      answered.add(grant.workspace());
      LimitHolder holder = holders.get(grant.workspace());
      if (holder != null) {
        finish(holder.granted(now, grant));
      }
    }
    // A peer that does not see itself as the owner does not answer.
    for (LimitAsk ask : sent) {
      LimitHolder holder = holders.get(ask.workspace());
      if (holder != null && !answered.contains(ask.workspace())) {
        holder.askLost();
      }
    }
  }

  /**
   * Takes note that an owner was not reached. That must not stop a workspace: each node has its
   * share until another owns it.
   */
  void asksLost(long now, List<LimitAsk> sent) {
    for (LimitAsk ask : sent) {
      LimitHolder holder = holders.get(ask.workspace());
      if (holder != null) {
        finish(holder.granted(now, fallback(now, ask)));
      }
    }
  }

  private LimitGrant fallback(long now, LimitAsk ask) {
    RateLimit limit = rates.get(ask.workspace());
    if (limit == null) {
      return unlimited(ask);
    }
    int nodes = owners.count();
    RateLimit share =
        new RateLimit(
            Math.max(1, limit.requestsPerSecond() / nodes),
            Math.max(1, limit.tokensPerSecond() / nodes));
    return fallbacks
        .computeIfAbsent(ask.workspace(), key -> new LimitOwner(share, now))
        .ask(now, self, ask);
  }

  private LimitGrant asked(long now, NodeId holder, LimitAsk ask) {
    RateLimit limit = rates.get(ask.workspace());
    if (limit == null) {
      return unlimited(ask);
    }
    return ownedLimits
        .computeIfAbsent(ask.workspace(), key -> new LimitOwner(limit, now))
        .ask(now, holder, ask);
  }

  private static LimitGrant unlimited(LimitAsk ask) {
    return new LimitGrant(
        ask.workspace(), ask.sequence(), ask.requestsWanted(), ask.tokensWanted(), 0);
  }

  private void finish(List<LimitHolder.Outcome> outcomes) {
    for (LimitHolder.Outcome outcome : outcomes) {
      CompletableFuture<LimitDecision> wait = waits.remove(outcome.id());
      if (wait != null) {
        Duration retryAfter = Duration.ofNanos(outcome.retryAfter());
        wait.complete(new LimitDecision(outcome.admitted(), retryAfter));
      }
    }
  }

  /** Takes away all that waits. */
  List<CompletableFuture<LimitDecision>> takeWaits() {
    List<CompletableFuture<LimitDecision>> all = List.copyOf(waits.values());
    waits.clear();
    return all;
  }
}
