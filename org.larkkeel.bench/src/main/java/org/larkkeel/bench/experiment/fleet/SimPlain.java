/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.larkkeel.bench.experiment.fake.Timeline;
import org.larkkeel.relay.AnswerGrade;
import org.larkkeel.relay.RateLimitNotice;
import org.larkkeel.relay.RefusalCause;
import org.larkkeel.relay.RelayEvent;
import org.larkkeel.relay.RequestRate;

/**
 * A model of a plain upstream with slots, a bounded queue and an optional rate limit that it
 * announces in its answers. It ignores cancels. Not safe for use by several threads.
 */
final class SimPlain {
  private static final double NANOS_PER_MILLI = 1e6;

  /**
   * The nodes' guarantee for rate limits: from {@code GRACE_NANOS} after the announcement, the
   * requests in each window are at most the limit times {@code TOLERANCE_FACTOR} plus {@code
   * TOLERANCE_REQUESTS}.
   */
  private static final long WINDOW_NANOS = 4_000_000_000L;

  private static final double TOLERANCE_FACTOR = 1.5;
  private static final double TOLERANCE_REQUESTS = 5;
  private static final long GRACE_NANOS = 3_000_000_000L;

  private final Timeline time;
  private final FleetScenario.Plain spec;
  private final SplittableRandom random;
  private final PriorityQueue<Long> slotFreeAt = new PriorityQueue<>();
  private int inProgress;
  private int declined;
  private final Deque<Long> arrivals = new ArrayDeque<>();
  private Optional<RequestRate> limit = Optional.empty();
  private long limitedAt;
  private double maxLimitUsage;

  SimPlain(Timeline time, FleetScenario.Plain spec, SplittableRandom random) {
    this.time = time;
    this.spec = spec;
    this.random = random;
    for (int i = 0; i < spec.slots(); i++) {
      slotFreeAt.add(0L);
    }
  }

  int declined() {
    return declined;
  }

  /** Returns the maximum number of requests in a window as a share of what the limit allows. */
  double maxLimitUsage() {
    return maxLimitUsage;
  }

  /** Starts to announce a limit in answers. */
  void limit(double perSecond) {
    limit = Optional.of(RequestRate.perSecond(perSecond));
    limitedAt = time.now();
    arrivals.clear();
  }

  /** Stops announcing a limit. */
  void removeLimit() {
    limit = Optional.empty();
  }

  private void countArrival() {
    long now = time.now();
    if (limit.isEmpty() || now - limitedAt < GRACE_NANOS) {
      return;
    }
    arrivals.add(now);
    while (arrivals.peek() <= now - WINDOW_NANOS) {
      arrivals.remove();
    }
    double allowed =
        TOLERANCE_FACTOR * limit.get().perSecond() * WINDOW_NANOS / 1e9 + TOLERANCE_REQUESTS;
    maxLimitUsage = Math.max(maxLimitUsage, arrivals.size() / allowed);
  }

  private void sendNotice(Job job, long sentAt) {
    job.sender.noticed(
        job,
        sentAt,
        limit
            .<RateLimitNotice>map(RateLimitNotice.Limited::new)
            .orElseGet(RateLimitNotice.Unlimited::new));
  }

  /** Accepts an arriving request, or declines it if all slots and the queue are full. */
  void submit(Job job) {
    final long arrivedAt = time.now();
    countArrival();
    if (inProgress == spec.slots() + spec.queue()) {
      declined++;
      sendNotice(job, arrivedAt);
      job.sender.reply(job, at -> new RelayEvent.Refused(at, job.attempt, RefusalCause.DECLINED));
      return;
    }
    inProgress++;
    double millis = -Math.log(1 - random.nextDouble()) * spec.workMillis();
    long end = Math.max(time.now(), slotFreeAt.poll()) + (long) (millis * NANOS_PER_MILLI);
    slotFreeAt.add(end);
    time.at(
        end,
        () -> {
          inProgress--;
          sendNotice(job, arrivedAt);
          job.sender.complete(
              job, at -> new RelayEvent.Answered(at, job.attempt, AnswerGrade.GOOD));
        });
  }
}
