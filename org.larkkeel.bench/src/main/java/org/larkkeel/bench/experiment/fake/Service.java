/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.fake;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.SplittableRandom;
import org.larkkeel.bench.experiment.fake.Timeline.Timer;
import org.larkkeel.bench.experiment.scenario.Members.Member;
import org.larkkeel.bench.experiment.scenario.Scenario;
import org.larkkeel.event.Event;
import org.larkkeel.event.Exposure;
import org.larkkeel.event.FailureCause;

/**
 * A plain service with a number of workers and a bounded queue.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
final class Service extends Upstream {
  private static final int MAX_WAITING = 1_000;

  private final SplittableRandom random;
  private final Queue<Work> queue = new ArrayDeque<>();
  private final Map<WorkId, Running> running = new LinkedHashMap<>();

  private static final class Running {
    private final Work work;
    private long endsAt;
    private Timer timer;

    Running(Work work, long ends) {
      this.work = work;
      this.endsAt = ends;
    }
  }

  Service(Timeline time, Ledger ledger, Member member, SplittableRandom random) {
    super(time, ledger, member);
    this.random = random;
  }

  void submit(Work work) {
    if (!isAlive()) {
      work.reply().fail(FailureCause.CONNECT_FAILED, Exposure.NOT_SENT, 0);
      return;
    }
    if (queue.size() >= MAX_WAITING) {
      work.reply().fail(FailureCause.BUSY, Exposure.REFUSED, 0);
      return;
    }
    ledger.recordReached(work.arrival());
    queue.add(work);
    startNext();
  }

  @Override
  void cancel(WorkId id) {
    Iterator<Work> waiting = queue.iterator();
    while (waiting.hasNext()) {
      if (waiting.next().id().equals(id)) {
        waiting.remove();
      }
    }
    Running job = running.remove(id);
    if (job != null) {
      Timeline.cancel(job.timer);
      startNext();
    }
  }

  @Override
  int running() {
    return running.size();
  }

  @Override
  int waiting() {
    return queue.size();
  }

  @Override
  int heldAttempts() {
    return running.size() + queue.size();
  }

  @Override
  double busyShare() {
    return (double) running.size() / member.group().slots();
  }

  @Override
  void dropAll() {
    List<Running> lost = List.copyOf(running.values());
    running.clear();
    for (Running job : lost) {
      Timeline.cancel(job.timer);
      job.work.reply().fail(FailureCause.CONNECTION_LOST, Exposure.MAY_HAVE_RUN, 0);
    }
    while (!queue.isEmpty()) {
      queue.poll().reply().fail(FailureCause.CONNECTION_LOST, Exposure.MAY_HAVE_RUN, 0);
    }
  }

  @Override
  void pause() {
    for (Running job : running.values()) {
      Timeline.cancel(job.timer);
      job.endsAt -= time.now();
    }
  }

  @Override
  void resume() {
    for (Running job : running.values()) {
      job.endsAt += time.now();
      schedule(job);
    }
    startNext();
  }

  private void startNext() {
    while (!queue.isEmpty() && running.size() < member.group().slots() && !frozen()) {
      Work work = queue.poll();
      ledger.recordRun(work.arrival());
      ledger.recordAtMostOnceRun(work.arrival());
      double millis = member.group().serviceTime().draw(random);
      Running job = new Running(work, time.now() + (long) (millis * Scenario.NANOS_PER_MILLI));
      running.put(work.id(), job);
      schedule(job);
    }
  }

  private void schedule(Running job) {
    job.timer = time.at(job.endsAt, () -> finish(job));
  }

  private void finish(Running job) {
    running.remove(job.work.id());
    job.work.reply().end(at -> new Event.PlainDone(at, job.work.id().attempt()));
    startNext();
  }
}
