/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.fake;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import org.larkkeel.bench.experiment.fake.Timeline.Timer;
import org.larkkeel.bench.experiment.scenario.Members.Member;
import org.larkkeel.bench.experiment.scenario.Scenario;
import org.larkkeel.event.Event;
import org.larkkeel.event.Exposure;
import org.larkkeel.event.FailureCause;

/**
 * A prefill engine: one prompt at a time at a fixed speed, by priority; the KV cache is held until
 * it is imported, cancelled or evicted.
 *
 * <p>Invariant: an attempt is queued, current or held, or unknown. Not safe for use by several
 * threads.
 *
 * @since 0.1
 */
final class PrefillEngine extends Upstream {
  private static final int MAX_WAITING = 512;

  private final Consumer<PrefixCache.Change> cacheEvents;
  private final long kvBytesPerToken;
  private final PrefixCache cache;
  private final PriorityQueue<Job> queue =
      new PriorityQueue<>(
          Comparator.comparingInt((Job j) -> j.work.priority()).thenComparingLong(j -> j.sequence));
  private final Map<WorkId, Held> held = new HashMap<>();
  final Link link;
  private long sequence;
  private Job current;

  private static final class Job {
    private final Work work;
    private final long sequence;
    private int cached;
    private double tokens;
    private double remaining;
    private long since;
    private Timer timer;

    Job(Work work, long sequence) {
      this.work = work;
      this.sequence = sequence;
    }
  }

  private static final class Held {
    private final double bytes;
    private Runnable broken;
    private Timer eviction;

    Held(double bytes) {
      this.bytes = bytes;
    }
  }

  PrefillEngine(
      Timeline time,
      Ledger ledger,
      Member member,
      long kvBytesPerToken,
      Consumer<PrefixCache.Change> cacheEvents) {
    super(time, ledger, member);
    this.kvBytesPerToken = kvBytesPerToken;
    this.cacheEvents = cacheEvents;
    this.cache = new PrefixCache(member.group().cachePieces());
    this.link = new Link(time, member.group().linkBytesPerSecond());
  }

  void start(Work work) {
    if (!alive()) {
      work.reply().fail(FailureCause.CONNECT_FAILED, Exposure.NOT_SENT, work.resumeFrom());
      return;
    }
    if (queue.size() >= MAX_WAITING) {
      work.reply().fail(FailureCause.BUSY, Exposure.REFUSED, work.resumeFrom());
      return;
    }
    ledger.reached(work.arrival());
    queue.add(new Job(work, sequence++));
    next();
  }

  /**
   * Begins to hand a KV cache over; returns its bytes, or -1 if it is not held. Runs {@code broken}
   * if the KV cache goes before the end.
   */
  double beginImport(WorkId id, Runnable broken) {
    Held kv = held.get(id);
    if (kv == null || kv.broken != null) {
      return -1;
    }
    kv.broken = broken;
    Timeline.cancel(kv.eviction);
    return kv.bytes;
  }

  /** Ends a hand-over; a KV cache that did not arrive is held for a while again. */
  void endImport(WorkId id, boolean arrived) {
    Held kv = held.get(id);
    if (kv == null) {
      return;
    }
    if (arrived) {
      held.remove(id);
    } else {
      kv.broken = null;
      holdBriefly(id, kv);
    }
  }

  void evictAll() {
    for (WorkId id : List.copyOf(held.keySet())) {
      evict(id);
    }
    publish(cache.clear());
  }

  @Override
  void cancel(WorkId id) {
    queue.removeIf(job -> job.work.id().equals(id));
    if (current != null && current.work.id().equals(id)) {
      abandonCurrent();
      next();
    }
    evict(id);
  }

  @Override
  int running() {
    return current == null ? 0 : 1;
  }

  @Override
  int waiting() {
    return queue.size();
  }

  @Override
  int held() {
    return queue.size() + running() + held.size();
  }

  @Override
  double busyShare() {
    return current == null || frozen() || !alive() ? 0 : 1;
  }

  @Override
  void dropAll() {
    List<Job> waiting = List.copyOf(queue);
    queue.clear();
    Job running = current;
    if (running != null) {
      abandonCurrent();
      lose(running);
    }
    waiting.forEach(this::lose);
    for (WorkId id : List.copyOf(held.keySet())) {
      evict(id);
    }
    cache.clear();
  }

  @Override
  void pause() {
    if (current != null) {
      settle(current);
      Timeline.cancel(current.timer);
    }
  }

  @Override
  void resume() {
    if (current == null) {
      next();
    } else {
      schedule(current);
    }
  }

  private void next() {
    if (current != null || queue.isEmpty() || frozen() || !alive()) {
      return;
    }
    Job job = queue.poll();
    current = job;
    ledger.ran(job.work.arrival());
    int whole = job.work.arrival().prompt() + job.work.resumeFrom();
    job.cached = Math.min(whole - 1, cache.cachedTokens(job.work.arrival().prefixes()));
    job.tokens = whole - job.cached;
    job.remaining =
        member.group().overhead() + job.tokens / member.group().tokensPerSecond() * Scenario.SECOND;
    ledger.engineActive(job.work.arrival(), 1);
    schedule(job);
  }

  private void schedule(Job job) {
    job.since = time.now();
    job.timer = time.after((long) Math.ceil(job.remaining), this::finish);
  }

  private void settle(Job job) {
    job.remaining = Math.max(0, job.remaining - (time.now() - job.since));
    job.since = time.now();
  }

  private void finish() {
    Job job = current;
    current = null;
    Work work = job.work;
    ledger.prefillComputed(work.id(), job.tokens);
    publish(cache.store(work.arrival().prefixes()));
    long bytes = (long) (work.arrival().prompt() + work.resumeFrom()) * kvBytesPerToken;
    Held kv = new Held(bytes);
    held.put(work.id(), kv);
    holdBriefly(work.id(), kv);
    ledger.engineActive(work.arrival(), -1);
    int cached = job.cached;
    work.reply().end(at -> new Event.PrefillDone(at, work.id().attempt(), bytes, cached));
    next();
  }

  private void abandonCurrent() {
    Job job = current;
    current = null;
    if (!frozen()) {
      settle(job);
    }
    Timeline.cancel(job.timer);
    double left = job.remaining / Scenario.SECOND * member.group().tokensPerSecond();
    ledger.prefillComputed(job.work.id(), Math.max(0, job.tokens - left));
    ledger.engineActive(job.work.arrival(), -1);
  }

  private void holdBriefly(WorkId id, Held kv) {
    kv.eviction = time.after(member.group().kvHold(), () -> evict(id));
  }

  private void evict(WorkId id) {
    Held kv = held.remove(id);
    if (kv == null) {
      return;
    }
    Timeline.cancel(kv.eviction);
    if (kv.broken != null) {
      kv.broken.run();
    }
  }

  private void lose(Job job) {
    job.work
        .reply()
        .fail(FailureCause.CONNECTION_LOST, Exposure.MAY_HAVE_RUN, job.work.resumeFrom());
  }

  private void publish(PrefixCache.Change change) {
    if (!change.isEmpty()) {
      cacheEvents.accept(change);
    }
  }
}
