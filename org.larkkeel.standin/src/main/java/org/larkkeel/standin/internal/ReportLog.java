/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.standin.internal;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.larkkeel.standin.EngineReports;
import org.larkkeel.standin.internal.EngineMessages.CacheEvent;
import org.larkkeel.standin.internal.EngineMessages.Load;

/**
 * The load samples and cache events that an engine reports, delayed and with losses.
 *
 * <p>Invariants: a cache event is not reported before its delay has passed; a load is not reported
 * before its delay has passed, unless it is the oldest sample. Not safe for use by several threads.
 *
 * @since 0.1
 */
final class ReportLog {
  private static final int MAX_EVENTS = 10_000;
  private static final int MAX_EVENTS_PER_ANSWER = 500;
  private static final int MAX_LOADS = 1_000;

  private final EngineReports settings;
  private final SplittableRandom random;
  private final Deque<Timed<CacheEvent>> events = new ArrayDeque<>();
  private final Deque<Timed<Load>> loads = new ArrayDeque<>();
  private long seq;

  private record Timed<T>(long atNanos, T value) {}

  ReportLog(EngineReports settings) {
    this.settings = settings;
    this.random = new SplittableRandom(settings.seed());
  }

  void add(PrefixCache.Change change, long now) {
    if (change.stored().isEmpty() && change.removed().isEmpty()) {
      return;
    }
    seq++;
    if (random.nextDouble() < settings.eventLossShare()) {
      return;
    }
    events.addLast(new Timed<>(now, new CacheEvent(seq, change.stored(), change.removed())));
    if (events.size() > MAX_EVENTS) {
      events.removeFirst();
    }
  }

  List<CacheEvent> eventsAfter(long after, long now) {
    long newestVisibleNanos = now - TimeUnit.MILLISECONDS.toNanos(settings.eventLagMillis());
    List<CacheEvent> visible = new ArrayList<>();
    for (Timed<CacheEvent> event : events) {
      if (event.atNanos - newestVisibleNanos > 0 || visible.size() == MAX_EVENTS_PER_ANSWER) {
        break;
      }
      if (event.value.seq() > after) {
        visible.add(event.value);
      }
    }
    return visible;
  }

  void sample(Load load, long now) {
    loads.addLast(new Timed<>(now, load));
    if (loads.size() > MAX_LOADS) {
      loads.removeFirst();
    }
  }

  /** Returns the newest load whose delay has passed, and drops older ones. */
  Load load(long now) {
    long newestVisibleNanos = now - TimeUnit.MILLISECONDS.toNanos(settings.loadLagMillis());
    Timed<Load> newestVisible = loads.removeFirst();
    while (!loads.isEmpty() && loads.peekFirst().atNanos - newestVisibleNanos <= 0) {
      newestVisible = loads.removeFirst();
    }
    loads.addFirst(newestVisible);
    Load load = newestVisible.value;
    return new Load(
        load.incarnation(),
        TimeUnit.NANOSECONDS.toMillis(now - newestVisible.atNanos),
        load.role(),
        load.slots(),
        load.running(),
        load.waiting(),
        load.kvPieces(),
        load.kvPiecesFree(),
        load.models());
  }
}
