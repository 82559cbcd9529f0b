/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon;

import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.larkkeel.effect.Effect;
import org.larkkeel.effect.EffectSink;
import org.larkkeel.event.CancelOutcome;
import org.larkkeel.event.ClaimOutcome;
import org.larkkeel.event.Event;
import org.larkkeel.event.Exposure;
import org.larkkeel.event.FailureCause;
import org.larkkeel.event.RecordOutcome;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Passes each effect to its adapter; if the adapter throws, publishes the failure as an event.
 *
 * <p>Invariant: an effect that expects an outcome event gets one even if its adapter throws. Safe
 * for use by several threads if the adapters are.
 *
 * @since 0.1
 */
public final class EffectDispatcher implements EffectSink {
  private static final Logger log = LoggerFactory.getLogger(EffectDispatcher.class);

  private final EffectPorts ports;
  private final Consumer<Event> events;
  private final LongSupplier clock;

  /**
   * Creates a dispatcher.
   *
   * @param ports the adapters
   * @param events receives the failures
   * @param clock the node's monotonic clock, nanoseconds
   */
  public EffectDispatcher(EffectPorts ports, Consumer<Event> events, LongSupplier clock) {
    this.ports = ports;
    this.events = events;
    this.clock = clock;
  }

  @Override
  public void accept(Effect effect) {
    try {
      adapterFor(effect).accept(effect);
    } catch (RuntimeException e) {
      log.error("event=effect_failed type={}", effect.getClass().getSimpleName(), e);
      publishFailure(effect);
    }
  }

  private EffectSink adapterFor(Effect effect) {
    return switch (effect) {
      case Effect.ClaimRun claim -> ports.runs();
      case Effect.RecordRun result -> ports.runs();
      case Effect.OfAttempt attempt -> ports.upstreams();
      case Effect.Complete complete -> ports.callers();
      case Effect.Replay replay -> ports.callers();
      case Effect.Refuse refuse -> ports.callers();
      case Effect.Forget forget -> ports.callers();
      case Effect.WantSlots want -> ports.peers();
      case Effect.WantLimit want -> ports.peers();
      case Effect.Wake wake -> ports.timers();
      case Effect.Report report -> ports.facts();
    };
  }

  /**
   * Publishes a failure for an effect whose adapter threw. The adapter may have sent the request
   * before it threw, so an attempt counts as one that may have run.
   */
  private void publishFailure(Effect effect) {
    long now = clock.getAsLong();
    switch (effect) {
      case Effect.StartPrefill start -> publishAttemptFailed(start, start.resumeFrom(), now);
      case Effect.StartTransfer start -> publishAttemptFailed(start, 0, now);
      case Effect.StartDecode start -> publishAttemptFailed(start, start.resumeFrom(), now);
      case Effect.SendPlain send -> publishAttemptFailed(send, 0, now);
      case Effect.Cancel cancel ->
          events.accept(new Event.CancelSettled(now, cancel.attempt(), CancelOutcome.FAILED));
      case Effect.ClaimRun claim ->
          events.accept(new Event.ClaimSettled(now, claim.attempt(), ClaimOutcome.UNAVAILABLE));
      case Effect.RecordRun result ->
          events.accept(new Event.RecordSettled(now, result.attempt(), RecordOutcome.FAILED));
      case Effect.Wake wake -> events.accept(new Event.Ticked(now));
      case Effect.Complete complete -> {}
      case Effect.Replay replay -> {}
      case Effect.Refuse refuse -> {}
      case Effect.Forget forget -> {}
      case Effect.WantSlots want -> {}
      case Effect.WantLimit want -> {}
      case Effect.Report report -> {}
    }
  }

  private void publishAttemptFailed(Effect.OfAttempt effect, int tokens, long now) {
    events.accept(
        new Event.AttemptFailed(
            now, effect.attempt(), FailureCause.BAD_ANSWER, Exposure.MAY_HAVE_RUN, tokens));
  }
}
