/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.upstream;

import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import org.larkkeel.event.Event;

/**
 * Asks engines for their load and their cache events, again and again.
 *
 * <p>Every node could poll every engine only while there are few of both: at 330 nodes and 600
 * engines that would be 198,000 connections and 330 times the polls at each engine. So a node polls
 * the targets it is given, as a rule the engines whose slots it owns, about two at that size; the
 * others hear of the load from the owner.
 *
 * <p>Invariants: at most one load poll and one cache poll of a target are in progress; a target
 * that is taken out is polled no more and its late answers are dropped. Safe for use by several
 * threads.
 *
 * @since 0.1
 */
public final class UpstreamPoller implements AutoCloseable {
  private final EngineClient engines;
  private final PollSettings settings;
  private final PollTimer timer;
  private final LongSupplier clock;
  private final DoubleSupplier random;
  private final Consumer<Event> events;
  private final Map<PollTarget, Polled> polled = new HashMap<>();

  /**
   * Creates a poller without targets.
   *
   * @param engines asks the engines
   * @param settings how often
   * @param timer runs the polls
   * @param clock the node's monotonic clock, nanoseconds
   * @param random numbers from 0 to 1 for the jitter
   * @param events takes what the engines say
   */
  public UpstreamPoller(
      EngineClient engines,
      PollSettings settings,
      PollTimer timer,
      LongSupplier clock,
      DoubleSupplier random,
      Consumer<Event> events) {
    this.engines = engines;
    this.settings = settings;
    this.timer = timer;
    this.clock = clock;
    this.random = random;
    this.events = events;
  }

  /** One target while it is polled; the cursor is used by one poll at a time. */
  private static final class Polled {
    final PollTarget target;
    final CacheCursor cursor = new CacheCursor();
    volatile boolean active = true;

    Polled(PollTarget target) {
      this.target = target;
    }
  }

  /**
   * Replaces the targets. Those that stay go on undisturbed.
   *
   * @param targets the engines to poll from now on
   */
  public synchronized void setTargets(ImmutableSet<PollTarget> targets) {
    polled.values().removeIf(p -> !targets.contains(p.target) && stop(p));
    for (PollTarget target : targets) {
      if (!polled.containsKey(target)) {
        Polled added = new Polled(target);
        polled.put(target, added);
        start(added);
      }
    }
  }

  @Override
  public void close() {
    setTargets(ImmutableSet.of());
  }

  private static boolean stop(Polled polled) {
    polled.active = false;
    return true;
  }

  /** The first polls are spread over one period, so that a change of owners makes no burst. */
  private void start(Polled added) {
    timer.after((long) (settings.loadNanos() * random.getAsDouble()), () -> pollLoad(added));
    timer.after((long) (settings.cacheNanos() * random.getAsDouble()), () -> pollCache(added));
  }

  private void pollLoad(Polled polled) {
    if (!polled.active) {
      return;
    }
    long sentAt = clock.getAsLong();
    engines.load(
        polled.target.address(),
        settings.timeoutNanos(),
        new EngineClient.JsonCallback(
            body -> loadDone(polled, LoadAnswers.event(polled.target.name(), body, sentAt, now())),
            f -> loadDone(polled, new Event.LoadUnavailable(now(), polled.target.name()))));
  }

  private void loadDone(Polled polled, Event event) {
    if (polled.active) {
      events.accept(event);
      timer.after(jittered(settings.loadNanos()), () -> pollLoad(polled));
    }
  }

  private void pollCache(Polled polled) {
    if (!polled.active) {
      return;
    }
    engines.cacheEvents(
        polled.target.address(),
        polled.cursor.after(),
        settings.timeoutNanos(),
        new EngineClient.JsonCallback(
            body -> {
              if (polled.active) {
                polled.cursor.read(polled.target.name(), body, now()).forEach(events);
              }
              scheduleCache(polled);
            },
            f -> scheduleCache(polled)));
  }

  private void scheduleCache(Polled polled) {
    if (polled.active) {
      timer.after(jittered(settings.cacheNanos()), () -> pollCache(polled));
    }
  }

  private long now() {
    return clock.getAsLong();
  }

  private long jittered(long mean) {
    double factor = 1 + settings.jitter() * (2 * random.getAsDouble() - 1);
    return (long) (mean * factor);
  }
}
