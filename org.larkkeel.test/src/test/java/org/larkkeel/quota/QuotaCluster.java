/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.quota;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.WorkspaceName;

/**
 * Test fixture: a cluster of nodes that share one quota in simulated time. Each node may be a
 * coordinator, and a message takes one step. Each test uses its own instance.
 */
final class QuotaCluster {
  static final QuotaKey WORKSPACE = new QuotaKey.OfWorkspace(new WorkspaceName("weavers"));
  private static final long MILLI = 1_000_000L;
  private static final long STEP = 5 * MILLI;
  private static final long HEARTBEAT = 400 * MILLI;
  private static final long MAX_WAIT = 120 * MILLI;
  private static final long FALLBACK = 1_000 * MILLI;

  final List<Node> nodes = new ArrayList<>();
  final SplittableRandom random;

  /** Draws ranks only, so that the other draws are the same with and without ranks. */
  private final SplittableRandom rankRandom;

  /** The ranks of the calls that arrive. */
  Ranks ranks = Ranks.ONE;

  private final QuotaTolerance tolerance;
  private final List<Runnable> messages = new ArrayList<>();
  private final List<Sent> sent = new ArrayList<>();
  TokenLimit limit;
  double loss;
  long now = 1_000_000 * MILLI;
  private long calls;
  int refused;
  long refusedTokens;

  /** What became of the calls of the most urgent rank. */
  int urgentCalls;

  int urgentRefused;

  /** The ranks of calls. */
  enum Ranks {
    /** One rank. */
    ONE,

    /** One call in seven is of the most urgent of three ranks. */
    THREE
  }

  private record Sent(long at, long tokens) {}

  QuotaCluster(int count, TokenLimit limit, QuotaTolerance tolerance, long seed) {
    this.limit = limit;
    this.tolerance = tolerance;
    this.random = new SplittableRandom(seed);
    this.rankRandom = new SplittableRandom(seed + 1_000_000);
    for (int i = 0; i < count; i++) {
      nodes.add(new Node(i));
    }
  }

  /** One node. */
  final class Node {
    final int index;
    final HostName name;
    QuotaHolder holder;
    QuotaCoordinator quotaCoordinator;

    /**
     * The index of the node whose coordinator it uses, 0 or 1; the other one if that does not
     * answer; -1 for none.
     */
    int coordinator;

    /** Whether it uses its own coordinator. */
    boolean isOwnCoordinator;

    /** The number of nodes that it knows; 0 if it knows all. */
    int knownNodes;

    long suspendedUntil;
    private long fallbackUntil;
    private final List<Waiting> waiting = new ArrayList<>();
    private long heartbeatAt;
    private long sequence;
    private int attempts;

    private record Waiting(RequestId call, long tokens, long until, QuotaRank rank) {}

    Node(int index) {
      this.index = index;
      this.name = new HostName("node-" + index);
      start();
      heartbeatAt = now + random.nextLong(HEARTBEAT);
    }

    /** Starts a new process without state. */
    void start() {
      holder = new QuotaHolder(tolerance, now, now);
      holder.nodes(now, Math.max(1, nodes.size()));
      quotaCoordinator = new QuotaCoordinator(tolerance);
      waiting.clear();
    }

    void suspend(long millis) {
      suspendedUntil = now + millis * MILLI;
    }

    boolean isSuspended() {
      return now < suspendedUntil;
    }

    void call(long tokens) {
      call(tokens, drawRank());
    }

    void call(long tokens, QuotaRank rank) {
      if (isSuspended()) {
        return;
      }
      RequestId id = new RequestId(++calls);
      urgentCalls += rank.isUrgent() ? 1 : 0;
      decided(id, tokens, rank, holder.take(now, id, WORKSPACE, limit, tokens, MAX_WAIT, rank));
    }

    private void decided(RequestId id, long tokens, QuotaRank rank, QuotaHolder.Decision decision) {
      switch (decision) {
        case QuotaHolder.Decision.Granted g -> sent.add(new Sent(now, tokens));
        case QuotaHolder.Decision.Refused r -> {
          refused++;
          urgentRefused += rank.isUrgent() ? 1 : 0;
          refusedTokens += tokens;
        }
        case QuotaHolder.Decision.Pending w ->
            waiting.add(new Waiting(id, tokens, now + QuotaHolder.WAIT_NANOS, rank));
      }
    }

    private void step() {
      if (isSuspended()) {
        return;
      }
      if (suspendedUntil > 0) {
        suspendedUntil = 0;
        holder.resumed(now);
        quotaCoordinator.clear();
      }
      for (Waiting w : List.copyOf(waiting)) {
        if (w.until() <= now) {
          waiting.remove(w);
          holder
              .decideWaiting(now, w.call(), WORKSPACE)
              .ifPresent(d -> decided(w.call(), w.tokens(), w.rank(), d));
        }
      }
      boolean heartbeat = now >= heartbeatAt;
      if (heartbeat) {
        heartbeatAt = now + HEARTBEAT;
        reportLevels();
      }
      holder.nextRequest(now, heartbeat).ifPresent(this::send);
    }

    private void reportLevels() {
      if (index == 0 && !quotaCoordinator.levels().left().isEmpty() && !isLost()) {
        QuotaLevels levels = quotaCoordinator.levels();
        messages.add(() -> nodes.get(1).quotaCoordinator.levelsReceived(now, levels));
      }
    }

    private void send(QuotaRequest request) {
      attempts = request.sequence() == sequence ? attempts + 1 : 1;
      sequence = request.sequence();
      if (attempts > 3) {
        holder.coordinatorChanged();
        fallbackUntil = now + FALLBACK;
        return;
      }
      if (coordinator >= 0 && !isLost()) {
        Node to = target();
        messages.add(() -> to.receive(this, request));
      }
    }

    /**
     * Returns the node to send requests to. An unresponsive coordinator is tried again after a
     * while, once it is no longer suspended.
     */
    private Node target() {
      if (isOwnCoordinator) {
        return this;
      }
      Node first = nodes.get(coordinator);
      if (now >= fallbackUntil && !first.isSuspended()) {
        fallbackUntil = 0;
      }
      return fallbackUntil > 0 ? nodes.get(1 - coordinator) : first;
    }

    private void receive(Node from, QuotaRequest request) {
      if (isSuspended()) {
        return;
      }
      QuotaGrant grant =
          quotaCoordinator.grant(now, from.name, request, nodeCount(), w -> Optional.of(limit));
      if (!isLost()) {
        messages.add(() -> from.granted(grant));
      }
    }

    private int nodeCount() {
      return knownNodes > 0 ? knownNodes : nodes.size();
    }

    private void granted(QuotaGrant grant) {
      if (isSuspended()) {
        return;
      }
      for (QuotaHolder.Outcome outcome : holder.granted(now, grant)) {
        waiting.stream()
            .filter(w -> w.call().equals(outcome.call()))
            .findFirst()
            .ifPresent(
                w -> {
                  waiting.remove(w);
                  decided(w.call(), w.tokens(), w.rank(), outcome.decision());
                });
      }
    }
  }

  private QuotaRank drawRank() {
    return switch (ranks) {
      case ONE -> QuotaRank.ONLY;
      case THREE -> rank(rankRandom.nextInt(7) == 0 ? 0 : 1 + rankRandom.nextInt(2));
    };
  }

  /** Returns one of several ranks, of which 0 is the most urgent. */
  static QuotaRank rank(int order) {
    return new QuotaRank(order, order == 0 ? QuotaRank.Group.URGENT : QuotaRank.Group.OTHER);
  }

  private boolean isLost() {
    return random.nextDouble() < loss;
  }

  /** Sets the number of nodes on all nodes. */
  void setNodeCounts() {
    nodes.forEach(n -> n.holder.nodes(now, nodes.size()));
  }

  /**
   * Advances the time while calls of random sizes arrive at some of the nodes, at a total rate of
   * tokens.
   */
  void pass(long millis, double tokensPerSecond, int someNodes) {
    double owed = 0;
    for (long t = 0; t < millis * MILLI; t += STEP) {
      now += STEP;
      List<Runnable> arrived = List.copyOf(messages);
      messages.clear();
      arrived.forEach(Runnable::run);
      owed += tokensPerSecond * STEP / 1e9;
      while (owed > 0) {
        long tokens = random.nextInt(4) == 0 ? 1_000 + random.nextInt(4_000) : 200;
        nodes.get(random.nextInt(someNodes)).call(tokens);
        owed -= tokens;
      }
      nodes.forEach(Node::step);
    }
  }

  void pass(long millis, double tokensPerSecond) {
    pass(millis, tokensPerSecond, nodes.size());
  }

  /** Returns the total of all tokens that were sent. */
  long sentTokens() {
    return sent.stream().mapToLong(Sent::tokens).sum();
  }

  /** Returns the maximum number of tokens that were sent within any window of some seconds. */
  long mostInWindow(double seconds) {
    long window = (long) (seconds * 1e9);
    long sum = 0;
    long max = 0;
    int first = 0;
    for (Sent s : sent) {
      sum += s.tokens();
      while (sent.get(first).at() <= s.at() - window) {
        sum -= sent.get(first++).tokens();
      }
      max = Math.max(max, sum);
    }
    return max;
  }
}
