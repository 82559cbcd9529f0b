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
import org.larkkeel.http.upstream.InFlightRequest;
import org.larkkeel.http.upstream.UpstreamClient;
import org.larkkeel.http.upstream.UpstreamFailure;
import org.larkkeel.lib.AttemptId;

/**
 * The attempts in progress, and what their steps share: the clients, addresses, clock and event
 * sink.
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
  private final ConcurrentMap<AttemptId, RunningStep> running = new ConcurrentHashMap<>();

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

  /**
   * A step of an attempt in progress. Steps are compared by identity, as an attempt has several one
   * after the other.
   */
  static final class RunningStep {
    private InFlightRequest call;
    private boolean aborted;

    synchronized void setInFlight(InFlightRequest inFlight) {
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

  EngineRequestId engineRequestId(AttemptId attempt) {
    return new EngineRequestId(origin, attempt);
  }

  RunningStep begin(AttemptId attempt) {
    RunningStep step = new RunningStep();
    running.put(attempt, step);
    return step;
  }

  /** Removes a step and submits the event with its outcome. */
  void end(AttemptId attempt, RunningStep step, LongFunction<Event> outcome) {
    running.remove(attempt, step);
    submit(outcome);
  }

  void fail(AttemptId attempt, RunningStep step, UpstreamFailure failure, int tokens) {
    end(attempt, step, at -> failed(at, attempt, failure, tokens));
  }

  void submit(LongFunction<Event> event) {
    events.accept(event.apply(clock.getAsLong()));
  }

  /** Aborts the current step of an attempt, if any. */
  void abort(AttemptId attempt) {
    RunningStep step = running.get(attempt);
    if (step != null) {
      step.abort();
    }
  }

  static Event failed(long at, AttemptId attempt, UpstreamFailure failure, int tokens) {
    return new Event.AttemptFailed(at, attempt, failure.cause(), failure.exposure(), tokens);
  }
}
