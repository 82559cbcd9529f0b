/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.larkkeel.call.Call;
import org.larkkeel.config.Configuration;
import org.larkkeel.effect.Effect;
import org.larkkeel.effect.Fact;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.event.CancelOutcome;
import org.larkkeel.event.Event;
import org.larkkeel.event.Exposure;
import org.larkkeel.event.FailureCause;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.lib.RequestId;

/**
 * Drives a router step by step in virtual time; the test takes the part of callers and upstreams.
 */
final class Script {
  static final long MILLI = 1_000_000L;
  static final long START = 1_000 * MILLI;

  final Router router;
  final List<Effect> effects = new ArrayList<>();
  final Map<RequestId, Effect> lastEffects = new HashMap<>();
  long now = START;

  Script(RouterSettings settings) {
    router = new Router(settings, 42);
  }

  Script() {
    this(RouterSettings.defaults());
  }

  /** Applies an event; {@link #effects} then contains its effects only. */
  Script apply(Event event) {
    effects.clear();
    router.apply(event, this::take);
    return this;
  }

  /** Advances the time in steps of 5 ms, with a tick at each step; collects the effects. */
  Script pass(long millis) {
    effects.clear();
    long until = now + millis * MILLI;
    while (now < until) {
      now = Math.min(until, now + 5 * MILLI);
      router.apply(new Event.Ticked(now), this::take);
    }
    return this;
  }

  /** Returns the effect of a type since the last event; fails if there is not exactly one. */
  <T extends Effect> T only(Class<T> type) {
    List<T> found = all(type);
    assertEquals(found.size(), 1, type.getSimpleName() + " in " + effects);
    return found.getFirst();
  }

  <T extends Effect> List<T> all(Class<T> type) {
    return effects.stream().filter(type::isInstance).map(type::cast).toList();
  }

  <T extends Fact> List<T> facts(Class<T> type) {
    return all(Effect.Report.class).stream()
        .map(Effect.Report::fact)
        .filter(type::isInstance)
        .map(type::cast)
        .toList();
  }

  Script configure(Configuration configuration) {
    return apply(new Event.ConfigurationAccepted(now, configuration));
  }

  Script arrive(Call call) {
    return apply(new Event.RequestArrived(now, call));
  }

  Script prefilled(AttemptId attempt) {
    return apply(new Event.PrefillDone(now, attempt, 4_000_000, 0));
  }

  Script transferred(AttemptId attempt) {
    return apply(new Event.TransferDone(now, attempt));
  }

  Script fail(AttemptId attempt, FailureCause cause, Exposure exposure) {
    return fail(attempt, cause, exposure, 0);
  }

  Script fail(AttemptId attempt, FailureCause cause, Exposure exposure, int tokens) {
    return apply(new Event.AttemptFailed(now, attempt, cause, exposure, tokens));
  }

  Script cancelSettled(AttemptId attempt, CancelOutcome outcome) {
    return apply(new Event.CancelSettled(now, attempt, outcome));
  }

  /** Takes a completion from its arrival to the start of its decode. */
  Effect.StartDecode toDecode(Call.Completion call) {
    arrive(call);
    prefilled(only(Effect.StartPrefill.class).attempt());
    transferred(only(Effect.StartTransfer.class).attempt());
    return only(Effect.StartDecode.class);
  }

  ErrorKind refusal(long request) {
    Effect ending = lastEffects.get(new RequestId(request));
    assertTrue(ending instanceof Effect.Refuse, "request " + request + " ended by " + ending);
    return ((Effect.Refuse) ending).kind();
  }

  Effect lastEffect(long request) {
    return lastEffects.get(new RequestId(request));
  }

  /** Asserts that the router keeps nothing of any request and holds no slot. */
  void assertIdle() {
    RouterStatus status = router.status();
    assertEquals(status.requests(), 0, "requests in progress");
    assertEquals(status.attempts(), 0, "current attempts");
    assertEquals(status.queued(), 0, "queued requests");
    for (RouterStatus.UpstreamStatus upstream : status.upstreams()) {
      assertEquals(upstream.outstanding(), 0, "attempts at " + upstream.name());
      assertEquals(upstream.freeSlots(), upstream.slots(), "free slots of " + upstream.name());
    }
  }

  private void take(Effect effect) {
    effects.add(effect);
    RequestId request =
        switch (effect) {
          case Effect.Complete e -> e.request();
          case Effect.Replay e -> e.request();
          case Effect.Refuse e -> e.request();
          case Effect.Forget e -> e.request();
          default -> null;
        };
    if (request != null) {
      Effect previous = lastEffects.put(request, effect);
      assertTrue(
          previous == null,
          "request " + request + " has two last effects: " + previous + ", " + effect);
    }
  }
}
