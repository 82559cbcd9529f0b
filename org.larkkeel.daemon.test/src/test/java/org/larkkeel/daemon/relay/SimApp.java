/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.relay.AnswerGrade;
import org.larkkeel.relay.RateLimitNotice;
import org.larkkeel.relay.RefusalCause;
import org.larkkeel.relay.RelayEvent;
import org.larkkeel.relay.RelayUpstream;
import org.larkkeel.relay.RequestRate;
import org.larkkeel.relay.UpstreamNotice;

/**
 * An upstream of the plain service of a {@link SimCluster}: slots, a queue of bounded length, and
 * an optional rate limit that it announces in its answers.
 */
final class SimApp {
  static final int SLOTS = 6;
  private static final int QUEUE_LENGTH = 24;
  private static final long NANOS_PER_MILLI = SimCluster.NANOS_PER_MILLI;
  private static final long WORK_NANOS = 60 * NANOS_PER_MILLI;

  /** The time after its first answer with a limit within which a node must observe the limit. */
  private static final long LIMIT_EFFECTIVE_NANOS = 500 * NANOS_PER_MILLI;

  private final SimCluster cluster;
  private final PriorityQueue<Long> free = new PriorityQueue<>();
  private final List<Arrival> arrivals = new ArrayList<>();
  private final Map<SimCluster.Node, Long> limitReceivedNanos = new HashMap<>();
  private Optional<RequestRate> limit = Optional.empty();
  private int inProgress;
  int shed;

  private record Arrival(long at, boolean fromInformed) {}

  SimApp(SimCluster cluster) {
    this.cluster = cluster;
    for (int i = 0; i < SLOTS; i++) {
      free.add(0L);
    }
  }

  /** Announces a limit in all answers from now on. */
  void limit(double perSecond) {
    limit = Optional.of(RequestRate.perSecond(perSecond));
  }

  /** Stops announcing a limit. */
  void removeLimit() {
    limit = Optional.empty();
    limitReceivedNanos.clear();
  }

  void accept(SimCluster.Node node, AttemptId attempt, RelayUpstream upstream) {
    long nowNanos = cluster.nowNanos();
    Long receivedNanos = limitReceivedNanos.get(node);
    arrivals.add(
        new Arrival(
            nowNanos, receivedNanos != null && nowNanos - receivedNanos >= LIMIT_EFFECTIVE_NANOS));
    if (inProgress == SLOTS + QUEUE_LENGTH) {
      shed++;
      answer(
          node, upstream, nowNanos, NANOS_PER_MILLI, attempt, Optional.of(RefusalCause.DECLINED));
      return;
    }
    inProgress++;
    long end = Math.max(nowNanos, free.poll()) + WORK_NANOS;
    free.add(end);
    cluster.after((end - nowNanos) / NANOS_PER_MILLI, () -> inProgress--);
    answer(node, upstream, nowNanos, end - nowNanos, attempt, Optional.empty());
  }

  private void answer(
      SimCluster.Node node,
      RelayUpstream upstream,
      long sentAt,
      long nanos,
      AttemptId attempt,
      Optional<RefusalCause> refusal) {
    node.after(
        nanos,
        () -> {
          notice(node, upstream, sentAt);
          node.submit(
              refusal
                  .<RelayEvent>map(c -> new RelayEvent.Refused(cluster.nowNanos(), attempt, c))
                  .orElseGet(
                      () ->
                          new RelayEvent.Answered(cluster.nowNanos(), attempt, AnswerGrade.GOOD)));
        });
  }

  /**
   * Submits the notice in the head of an answer; like the node's own parser, it omits notices
   * without news.
   */
  private void notice(SimCluster.Node node, RelayUpstream upstream, long sentAt) {
    if (limit.isPresent()) {
      limitReceivedNanos.putIfAbsent(node, cluster.nowNanos());
    } else if (!node.router.isRateLimited(upstream.incarnation())) {
      return;
    }
    RateLimitNotice rate =
        limit
            .<RateLimitNotice>map(RateLimitNotice.Limited::new)
            .orElseGet(RateLimitNotice.Unlimited::new);
    node.submit(
        new RelayEvent.Noticed(
            cluster.nowNanos(),
            upstream.incarnation(),
            sentAt,
            new UpstreamNotice(false, 0, rate)));
  }

  /** Forgets that a node received a limit, because its process has ended. */
  void forget(SimCluster.Node node) {
    limitReceivedNanos.remove(node);
  }

  /** Returns the number of requests that arrived since a time. */
  int arrivedSince(long since) {
    return (int) arrivals.stream().filter(a -> a.at() >= since).count();
  }

  /**
   * Returns the maximum number of requests from all nodes within a window that begins at {@code
   * since} or later.
   */
  int maxArrived(long since, long windowNanos) {
    return maxInWindow(arrivals.stream().filter(a -> a.at() >= since).toList(), windowNanos);
  }

  /**
   * Returns the maximum as {@link #maxArrived} does, counting only requests from nodes that
   * received a limit at least half a second before.
   */
  int maxArrivedFromInformed(long since, long windowNanos) {
    return maxInWindow(
        arrivals.stream().filter(a -> a.at() >= since && a.fromInformed()).toList(), windowNanos);
  }

  private static int maxInWindow(List<Arrival> selected, long windowNanos) {
    int max = 0;
    int first = 0;
    for (int i = 0; i < selected.size(); i++) {
      while (selected.get(first).at() <= selected.get(i).at() - windowNanos) {
        first++;
      }
      max = Math.max(max, i - first + 1);
    }
    return max;
  }
}
