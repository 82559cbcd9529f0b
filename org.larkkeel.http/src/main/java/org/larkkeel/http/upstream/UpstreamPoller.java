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
 * Polls engines periodically for their load and their cache events.
 *
 * <p>Polling every engine from every node does not scale: with 330 nodes and 600 engines it would
 * need 198,000 connections and 330 times the polls at each engine. A node therefore polls only the
 * given targets, usually the engines whose slots it owns, about two at that size; the other nodes
 * receive the load from the owner.
 *
 * <p>Invariants: at most one load poll and one cache poll of a target are in progress; a removed
 * target is not polled again and its late responses are dropped. Safe for use by several threads.
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
  private final Map<PollTarget, PollState> pollStates = new HashMap<>();

  /**
   * Creates a poller without targets.
   *
   * @param engines the client for engines
   * @param settings the intervals and the timeout of polls
   * @param timer schedules the polls
   * @param clock the node's monotonic clock, nanoseconds
   * @param random supplies numbers from 0 to 1 for the jitter
   * @param events receives the load and cache events
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

  /** The polling state of one target; the cursor is used by one poll at a time. */
  private static final class PollState {
    final PollTarget target;
    final CacheCursor cursor = new CacheCursor();
    volatile boolean active = true;

    PollState(PollTarget target) {
      this.target = target;
    }
  }

  /**
   * Replaces the targets. Polling of targets in both the old and the new set is not interrupted.
   *
   * @param targets the engines to poll from now on
   */
  public synchronized void setTargets(ImmutableSet<PollTarget> targets) {
    pollStates.values().removeIf(p -> !targets.contains(p.target) && stop(p));
    for (PollTarget target : targets) {
      if (!pollStates.containsKey(target)) {
        PollState added = new PollState(target);
        pollStates.put(target, added);
        scheduleFirstPolls(added);
      }
    }
  }

  @Override
  public void close() {
    setTargets(ImmutableSet.of());
  }

  private static boolean stop(PollState state) {
    state.active = false;
    return true;
  }

  /** Spreads the first polls over one interval, so that a change of owners causes no burst. */
  private void scheduleFirstPolls(PollState added) {
    timer.schedule((long) (settings.loadNanos() * random.getAsDouble()), () -> pollLoad(added));
    timer.schedule((long) (settings.cacheNanos() * random.getAsDouble()), () -> pollCache(added));
  }

  private void pollLoad(PollState state) {
    if (!state.active) {
      return;
    }
    long sentAt = clock.getAsLong();
    engines.fetchLoad(
        state.target.address(),
        settings.timeoutNanos(),
        new EngineClient.JsonCallback(
            body ->
                onLoadPolled(
                    state, LoadResponses.toEvent(state.target.name(), body, sentAt, now())),
            f -> onLoadPolled(state, new Event.LoadUnavailable(now(), state.target.name()))));
  }

  private void onLoadPolled(PollState state, Event event) {
    if (state.active) {
      events.accept(event);
      timer.schedule(withJitter(settings.loadNanos()), () -> pollLoad(state));
    }
  }

  private void pollCache(PollState state) {
    if (!state.active) {
      return;
    }
    engines.fetchCacheEvents(
        state.target.address(),
        state.cursor.lastSequence(),
        settings.timeoutNanos(),
        new EngineClient.JsonCallback(
            body -> {
              if (state.active) {
                state.cursor.read(state.target.name(), body, now()).forEach(events);
              }
              scheduleCachePoll(state);
            },
            f -> scheduleCachePoll(state)));
  }

  private void scheduleCachePoll(PollState state) {
    if (state.active) {
      timer.schedule(withJitter(settings.cacheNanos()), () -> pollCache(state));
    }
  }

  private long now() {
    return clock.getAsLong();
  }

  private long withJitter(long mean) {
    double factor = 1 + settings.jitter() * (2 * random.getAsDouble() - 1);
    return (long) (mean * factor);
  }
}
