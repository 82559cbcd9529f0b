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
import org.larkkeel.relay.RateNotice;
import org.larkkeel.relay.RefusalCause;
import org.larkkeel.relay.RelayEvent;
import org.larkkeel.relay.RelayUpstream;
import org.larkkeel.relay.RequestRate;
import org.larkkeel.relay.UpstreamNotice;

/**
 * An upstream of the plain service of a {@link SimFleet}: slots, a queue of bounded length, and a
 * limit that it may name in its answers.
 */
final class SimApp {
  static final int SLOTS = 6;
  private static final int QUEUE = 24;
  private static final long MILLI = SimFleet.MILLI;
  private static final long WORK = 60 * MILLI;

  /** How long after its first answer with a limit a node must count it. */
  private static final long KNOWN_NANOS = 500 * MILLI;

  private final SimFleet fleet;
  private final PriorityQueue<Long> free = new PriorityQueue<>();
  private final List<Arrival> arrivals = new ArrayList<>();
  private final Map<SimFleet.Node, Long> toldAt = new HashMap<>();
  private Optional<RequestRate> limit = Optional.empty();
  private int present;
  int shed;

  private record Arrival(long at, boolean fromTold) {}

  SimApp(SimFleet fleet) {
    this.fleet = fleet;
    for (int i = 0; i < SLOTS; i++) {
      free.add(0L);
    }
  }

  /** Names a limit in all answers from now on. */
  void limit(double perSecond) {
    limit = Optional.of(RequestRate.perSecond(perSecond));
  }

  /** Names no limit any more. */
  void lift() {
    limit = Optional.empty();
    toldAt.clear();
  }

  void take(SimFleet.Node node, AttemptId attempt, RelayUpstream upstream) {
    long now = fleet.now();
    Long told = toldAt.get(node);
    arrivals.add(new Arrival(now, told != null && now - told >= KNOWN_NANOS));
    if (present == SLOTS + QUEUE) {
      shed++;
      answer(node, upstream, now, MILLI, attempt, Optional.of(RefusalCause.DECLINED));
      return;
    }
    present++;
    long end = Math.max(now, free.poll()) + WORK;
    free.add(end);
    fleet.after((end - now) / MILLI, () -> present--);
    answer(node, upstream, now, end - now, attempt, Optional.empty());
  }

  private void answer(
      SimFleet.Node node,
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
                  .<RelayEvent>map(c -> new RelayEvent.Refused(fleet.now(), attempt, c))
                  .orElseGet(
                      () -> new RelayEvent.Answered(fleet.now(), attempt, AnswerGrade.GOOD)));
        });
  }

  /** What the head of an answer says; as the node's own reader, it leaves out what is no news. */
  private void notice(SimFleet.Node node, RelayUpstream upstream, long sentAt) {
    if (limit.isPresent()) {
      toldAt.putIfAbsent(node, fleet.now());
    } else if (!node.router.isRateLimited(upstream.life())) {
      return;
    }
    RateNotice rate =
        limit.<RateNotice>map(RateNotice.Limited::new).orElseGet(RateNotice.Unlimited::new);
    node.submit(
        new RelayEvent.Noticed(
            fleet.now(), upstream.life(), sentAt, new UpstreamNotice(false, 0, rate)));
  }

  /** Forgets what a process was told that has ended. */
  void forget(SimFleet.Node node) {
    toldAt.remove(node);
  }

  /** How many requests came since a time. */
  int arrivedSince(long since) {
    return (int) arrivals.stream().filter(a -> a.at() >= since).count();
  }

  /** The most requests in a window of time that begins at a time or later, of all nodes. */
  int mostArrived(long since, long windowNanos) {
    return most(arrivals.stream().filter(a -> a.at() >= since).toList(), windowNanos);
  }

  /** As the other, of nodes that were told a limit half a second before. */
  int mostArrivedOfTold(long since, long windowNanos) {
    return most(
        arrivals.stream().filter(a -> a.at() >= since && a.fromTold()).toList(), windowNanos);
  }

  private static int most(List<Arrival> some, long windowNanos) {
    int most = 0;
    int first = 0;
    for (int i = 0; i < some.size(); i++) {
      while (some.get(first).at() <= some.get(i).at() - windowNanos) {
        first++;
      }
      most = Math.max(most, i - first + 1);
    }
    return most;
  }
}
