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
 * A plain upstream: slots, a queue of bounded length, and a limit that it may name in its answers.
 * It works on when a call is given up. Not safe for use by several threads.
 */
final class SimPlain {
  private static final double MILLI = 1e6;

  /** What is promised of limits: by how much they may be exceeded in a window, from when on. */
  private static final long WINDOW = 4_000_000_000L;

  private static final double SHARE = 1.5;
  private static final double SLACK = 5;
  private static final long BINDS_AFTER = 3_000_000_000L;

  private final Timeline time;
  private final FleetScenario.Plain spec;
  private final SplittableRandom random;
  private final PriorityQueue<Long> freeAt = new PriorityQueue<>();
  private int present;
  private int declined;
  private final Deque<Long> arrivals = new ArrayDeque<>();
  private Optional<RequestRate> limit = Optional.empty();
  private long limitedAt;
  private double limitUse;

  SimPlain(Timeline time, FleetScenario.Plain spec, SplittableRandom random) {
    this.time = time;
    this.spec = spec;
    this.random = random;
    for (int i = 0; i < spec.slots(); i++) {
      freeAt.add(0L);
    }
  }

  int declined() {
    return declined;
  }

  /** The most requests in a window while it had a limit, as a share of what is promised. */
  double limitUse() {
    return limitUse;
  }

  /** Names a limit in its answers from now on. */
  void limit(double perSecond) {
    limit = Optional.of(RequestRate.perSecond(perSecond));
    limitedAt = time.now();
    arrivals.clear();
  }

  /** Names no limit any more. */
  void lift() {
    limit = Optional.empty();
  }

  private void count() {
    long now = time.now();
    if (limit.isEmpty() || now - limitedAt < BINDS_AFTER) {
      return;
    }
    arrivals.add(now);
    while (arrivals.peek() <= now - WINDOW) {
      arrivals.remove();
    }
    double promised = SHARE * limit.get().perSecond() * WINDOW / 1e9 + SLACK;
    limitUse = Math.max(limitUse, arrivals.size() / promised);
  }

  private void notice(Job job, long sentAt) {
    job.sender.noticed(
        job,
        sentAt,
        limit.<RateLimitNotice>map(RateLimitNotice.Limited::new).orElseGet(RateLimitNotice.Unlimited::new));
  }

  /** A request arrives. */
  void take(Job job) {
    final long arrivedAt = time.now();
    count();
    if (present == spec.slots() + spec.queue()) {
      declined++;
      notice(job, arrivedAt);
      job.sender.reply(job, at -> new RelayEvent.Refused(at, job.attempt, RefusalCause.DECLINED));
      return;
    }
    present++;
    double millis = -Math.log(1 - random.nextDouble()) * spec.workMillis();
    long end = Math.max(time.now(), freeAt.poll()) + (long) (millis * MILLI);
    freeAt.add(end);
    time.at(
        end,
        () -> {
          present--;
          notice(job, arrivedAt);
          job.sender.complete(
              job, at -> new RelayEvent.Answered(at, job.attempt, AnswerGrade.GOOD));
        });
  }
}
