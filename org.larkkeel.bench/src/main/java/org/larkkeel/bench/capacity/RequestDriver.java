/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.capacity;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.larkkeel.call.Call;
import org.larkkeel.call.PrefixKeys;
import org.larkkeel.config.Configuration;
import org.larkkeel.config.Upstream;
import org.larkkeel.effect.Effect;
import org.larkkeel.event.CancelOutcome;
import org.larkkeel.event.Event;
import org.larkkeel.event.LoadReport;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.Revision;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.router.Router;
import org.larkkeel.router.RouterSettings;

/**
 * Drives a router with requests. Every step of a request succeeds after a fixed time.
 *
 * <p>Not safe for use by several threads.
 */
final class RequestDriver {
  private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
  private static final int PROMPT_TOKENS = 1_200;
  private static final int OUTPUT_TOKENS = 200;
  private static final long KV_BYTES = PROMPT_TOKENS * 100_000L;
  private static final int KV_PIECES = 2_000;
  private static final long SEED = 1;

  private final Deployment deployment;
  private final Router router = new Router(RouterSettings.defaults(), SEED);
  private final ArrayDeque<Event> scheduledEvents = new ArrayDeque<>();
  private final boolean keepsRequests;
  private long now;
  private long nextRequest;
  private long events;
  private long completed;
  private long refused;

  /**
   * Creates a driver.
   *
   * @param deployment the size of the deployment
   * @param keepsRequests true if requests stay in progress, so that their heap can be measured
   */
  RequestDriver(Deployment deployment, boolean keepsRequests) {
    this.deployment = deployment;
    this.keepsRequests = keepsRequests;
    Configuration configuration = deployment.configuration(new Revision(1));
    apply(new Event.ConfigurationAccepted(now, configuration));
    configuration.upstreams().keySet().forEach(this::report);
  }

  /**
   * Sends one request every {@code intervalNanos}. Steps of earlier requests that are due end in
   * between.
   */
  void send(int count, long intervalNanos) {
    for (int i = 0; i < count; i++) {
      long next = now + intervalNanos;
      applyDueEvents(next);
      now = next;
      apply(new Event.RequestArrived(now, call()));
    }
    applyDueEvents(now);
  }

  /** Applies an event to the router. */
  void apply(Event event) {
    events++;
    router.apply(event, this::perform);
  }

  long now() {
    return now;
  }

  long events() {
    return events;
  }

  long completed() {
    return completed;
  }

  long refused() {
    return refused;
  }

  private void applyDueEvents(long until) {
    while (!scheduledEvents.isEmpty() && scheduledEvents.peekFirst().at() <= until) {
      Event event = scheduledEvents.pollFirst();
      now = event.at();
      apply(event);
    }
  }

  private void report(UpstreamName name) {
    LoadReport load =
        new LoadReport(
            new Incarnation(1),
            now,
            Upstream.DEFAULT_SLOTS,
            0,
            0,
            KV_PIECES,
            KV_PIECES,
            ImmutableSet.of());
    apply(new Event.LoadReported(now, name, load));
  }

  private Call call() {
    long id = nextRequest++;
    return new Call.Completion(
        new RequestId(id),
        Deployment.workspace((int) (id % deployment.workspaces())),
        Optional.empty(),
        Deployment.model((int) (id % deployment.models())),
        PROMPT_TOKENS,
        OUTPUT_TOKENS,
        PrefixKeys.NONE,
        0);
  }

  private void perform(Effect effect) {
    long at = now + STEP_NANOS;
    switch (effect) {
      case Effect.StartPrefill prefill -> {
        if (!keepsRequests) {
          scheduledEvents.add(new Event.PrefillDone(at, prefill.attempt(), KV_BYTES, 0));
        }
      }
      case Effect.StartTransfer transfer ->
          scheduledEvents.add(new Event.TransferDone(at, transfer.attempt()));
      case Effect.StartDecode decode -> {
        scheduledEvents.add(new Event.FirstToken(at, decode.attempt()));
        scheduledEvents.add(new Event.DecodeDone(at, decode.attempt(), OUTPUT_TOKENS));
      }
      case Effect.Cancel cancel ->
          scheduledEvents.add(
              new Event.CancelSettled(at, cancel.attempt(), CancelOutcome.ACKNOWLEDGED));
      case Effect.Complete complete -> completed++;
      case Effect.Refuse refuse -> refused++;
      default -> {}
    }
  }
}
