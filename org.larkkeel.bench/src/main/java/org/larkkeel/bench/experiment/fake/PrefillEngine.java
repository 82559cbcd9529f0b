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
 * A prefill engine, which computes one prompt at a time at a fixed speed, in the order of priority,
 * and holds its KV cache until it is imported, cancelled or evicted.
 *
 * <p>Invariant: an attempt is in at most one of the states queued, current and held. Not safe for
 * use by several threads.
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
  private final Map<WorkId, HeldCache> held = new HashMap<>();
  final Link link;
  private long sequence;
  private Job current;

  private static final class Job {
    private final Work work;
    private final long sequence;
    private int cached;
    private double tokens;
    private double remaining;
    private long updatedAt;
    private Timer timer;

    Job(Work work, long sequence) {
      this.work = work;
      this.sequence = sequence;
    }
  }

  private static final class HeldCache {
    private final double bytes;
    private Runnable onEviction;
    private Timer eviction;

    HeldCache(double bytes) {
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

  void submit(Work work) {
    if (!isAlive()) {
      work.reply().fail(FailureCause.CONNECT_FAILED, Exposure.NOT_SENT, work.resumeFrom());
      return;
    }
    if (queue.size() >= MAX_WAITING) {
      work.reply().fail(FailureCause.BUSY, Exposure.REFUSED, work.resumeFrom());
      return;
    }
    ledger.recordReached(work.arrival());
    queue.add(new Job(work, sequence++));
    startNext();
  }

  /**
   * Starts the import of a KV cache by a decode engine. Runs {@code onEviction} if the KV cache is
   * evicted before the end.
   *
   * @return the size in bytes, or -1 if the KV cache is not held or is being imported already
   */
  double beginImport(WorkId id, Runnable onEviction) {
    HeldCache kv = held.get(id);
    if (kv == null || kv.onEviction != null) {
      return -1;
    }
    kv.onEviction = onEviction;
    Timeline.cancel(kv.eviction);
    return kv.bytes;
  }

  /** Ends an import; a KV cache that did not arrive is held again for the normal hold time. */
  void endImport(WorkId id, boolean arrived) {
    HeldCache kv = held.get(id);
    if (kv == null) {
      return;
    }
    if (arrived) {
      held.remove(id);
    } else {
      kv.onEviction = null;
      scheduleEviction(id, kv);
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
      startNext();
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
  int heldAttempts() {
    return queue.size() + running() + held.size();
  }

  @Override
  double busyShare() {
    return current == null || frozen() || !isAlive() ? 0 : 1;
  }

  @Override
  void dropAll() {
    List<Job> waiting = List.copyOf(queue);
    queue.clear();
    Job running = current;
    if (running != null) {
      abandonCurrent();
      failLost(running);
    }
    waiting.forEach(this::failLost);
    for (WorkId id : List.copyOf(held.keySet())) {
      evict(id);
    }
    cache.clear();
  }

  @Override
  void pause() {
    if (current != null) {
      updateRemaining(current);
      Timeline.cancel(current.timer);
    }
  }

  @Override
  void resume() {
    if (current == null) {
      startNext();
    } else {
      schedule(current);
    }
  }

  private void startNext() {
    if (current != null || queue.isEmpty() || frozen() || !isAlive()) {
      return;
    }
    Job job = queue.poll();
    current = job;
    ledger.recordRun(job.work.arrival());
    int promptTokens = job.work.arrival().prompt() + job.work.resumeFrom();
    job.cached = Math.min(promptTokens - 1, cache.cachedTokens(job.work.arrival().prefixes()));
    job.tokens = promptTokens - job.cached;
    job.remaining =
        member.group().overhead()
            + job.tokens / member.group().tokensPerSecond() * Scenario.NANOS_PER_SECOND;
    ledger.changeActiveEngines(job.work.arrival(), 1);
    schedule(job);
  }

  private void schedule(Job job) {
    job.updatedAt = time.now();
    job.timer = time.after((long) Math.ceil(job.remaining), this::finish);
  }

  private void updateRemaining(Job job) {
    job.remaining = Math.max(0, job.remaining - (time.now() - job.updatedAt));
    job.updatedAt = time.now();
  }

  private void finish() {
    Job job = current;
    current = null;
    Work work = job.work;
    ledger.recordPrefill(work.id(), job.tokens);
    publish(cache.store(work.arrival().prefixes()));
    long bytes = (long) (work.arrival().prompt() + work.resumeFrom()) * kvBytesPerToken;
    HeldCache kv = new HeldCache(bytes);
    held.put(work.id(), kv);
    scheduleEviction(work.id(), kv);
    ledger.changeActiveEngines(work.arrival(), -1);
    int cached = job.cached;
    work.reply().end(at -> new Event.PrefillDone(at, work.id().attempt(), bytes, cached));
    startNext();
  }

  private void abandonCurrent() {
    Job job = current;
    current = null;
    if (!frozen()) {
      updateRemaining(job);
    }
    Timeline.cancel(job.timer);
    double remainingTokens =
        job.remaining / Scenario.NANOS_PER_SECOND * member.group().tokensPerSecond();
    ledger.recordPrefill(job.work.id(), Math.max(0, job.tokens - remainingTokens));
    ledger.changeActiveEngines(job.work.arrival(), -1);
  }

  private void scheduleEviction(WorkId id, HeldCache kv) {
    kv.eviction = time.after(member.group().kvHold(), () -> evict(id));
  }

  private void evict(WorkId id) {
    HeldCache kv = held.remove(id);
    if (kv == null) {
      return;
    }
    Timeline.cancel(kv.eviction);
    if (kv.onEviction != null) {
      kv.onEviction.run();
    }
  }

  private void failLost(Job job) {
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
