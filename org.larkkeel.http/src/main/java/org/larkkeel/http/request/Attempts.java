/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.request;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.function.LongFunction;
import java.util.function.LongSupplier;
import org.larkkeel.event.Event;
import org.larkkeel.http.upstream.EngineClient;
import org.larkkeel.http.upstream.EngineRequestId;
import org.larkkeel.http.upstream.InFlight;
import org.larkkeel.http.upstream.UpstreamClient;
import org.larkkeel.http.upstream.UpstreamFailure;
import org.larkkeel.lib.AttemptId;

/**
 * The attempts in progress, and the way of their outcomes to the reducer.
 *
 * <p>Safe for use by several threads.
 */
final class Attempts {
  private final EngineRequestId.Origin origin;
  private final UpstreamClient client;
  private final EngineClient engines;
  private final KnownAddresses addresses;
  private final EventSink events;
  private final LongSupplier clock;
  private final ConcurrentMap<AttemptId, Running> running = new ConcurrentHashMap<>();

  Attempts(
      EngineRequestId.Origin origin,
      UpstreamClient client,
      KnownAddresses addresses,
      EventSink events,
      LongSupplier clock) {
    this.origin = origin;
    this.client = client;
    this.engines = new EngineClient(client);
    this.addresses = addresses;
    this.events = events;
    this.clock = clock;
  }

  /** One step of an attempt in progress; identity matters. */
  static final class Running {
    private InFlight call;
    private boolean aborted;

    synchronized void started(InFlight inFlight) {
      call = inFlight;
      if (aborted) {
        inFlight.abort();
      }
    }

    synchronized void abort() {
      aborted = true;
      if (call != null) {
        call.abort();
      }
    }
  }

  UpstreamClient client() {
    return client;
  }

  EngineClient engines() {
    return engines;
  }

  KnownAddresses addresses() {
    return addresses;
  }

  EngineRequestId wireId(AttemptId attempt) {
    return new EngineRequestId(origin, attempt);
  }

  Running begin(AttemptId attempt) {
    Running step = new Running();
    running.put(attempt, step);
    return step;
  }

  /** Ends a step and tells its outcome. */
  void end(AttemptId attempt, Running step, LongFunction<Event> outcome) {
    running.remove(attempt, step);
    tell(outcome);
  }

  void fail(AttemptId attempt, Running step, UpstreamFailure failure, int tokens) {
    end(attempt, step, at -> failed(at, attempt, failure, tokens));
  }

  void tell(LongFunction<Event> event) {
    events.accept(event.apply(clock.getAsLong()));
  }

  /** Gives up whatever an attempt is doing. */
  void abort(AttemptId attempt) {
    Running step = running.get(attempt);
    if (step != null) {
      step.abort();
    }
  }

  static Event failed(long at, AttemptId attempt, UpstreamFailure failure, int tokens) {
    return new Event.AttemptFailed(at, attempt, failure.cause(), failure.exposure(), tokens);
  }
}
