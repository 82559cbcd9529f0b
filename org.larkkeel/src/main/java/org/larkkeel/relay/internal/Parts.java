/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RelayFact;
import org.larkkeel.relay.RelaySettings;
import org.larkkeel.relay.ServiceBounds;
import org.larkkeel.relay.ServiceName;

/**
 * The parts of one router, each with one job, and where their effects go.
 *
 * <p>Invariant: all parts are there before the first event. Not safe for use by several threads.
 */
final class Parts {
  final RelaySettings settings;
  final SplittableRandom random;
  final Timers timers = new Timers();
  final Fleet fleet;
  final Rooms rooms;
  final Attempts attempts;
  final Prompts prompts;
  final FinalAnswers answers;
  final RetryBudget repeats;
  final Evacuation evacuation;
  final EndedLives endedLives;
  final CrashGuard guard;
  final Admission admission;
  final HeldQuotas held;
  final Quotas quotas;
  final PermitQueue permits = new PermitQueue(this);
  final OpenCalls open = new OpenCalls(this);
  final Dispatch dispatch = new Dispatch(this);
  final Outcomes outcomes = new Outcomes(this);
  private Consumer<RelayEffect> effects = e -> {};

  Parts(RelaySettings settings) {
    final Bindings bindings = new Bindings(this);
    this.settings = settings;
    this.random = new SplittableRandom(settings.seed());
    this.held = new HeldQuotas(settings.tolerance(), settings.nodes());
    this.fleet = new Fleet(settings.missingNanos(), random.split(), held, this::report);
    this.rooms = new Rooms(fleet, timers, random, settings, bindings.new Roomy());
    this.attempts = new Attempts(fleet, timers, this::emit);
    this.prompts = new Prompts(fleet, this::emit);
    this.answers = new FinalAnswers(this::emit);
    this.repeats = new RetryBudget(settings);
    this.evacuation = new Evacuation(fleet, timers, bindings.new Movable());
    this.endedLives = new EndedLives(rooms, evacuation, bindings.new Endable());
    this.guard = new CrashGuard(~settings.seed(), this::emit, bindings.new Guarded());
    this.admission = new Admission(fleet, random, guard, answers, this::emit);
    this.quotas =
        new Quotas(
            timers,
            new SplittableRandom(settings.seed() + 1),
            held,
            fleet.rates(),
            bindings.new Counted(),
            this::emit);
  }

  /** Sets where effects go. */
  void effects(Consumer<RelayEffect> sink) {
    effects = sink;
  }

  void emit(RelayEffect effect) {
    effects.accept(effect);
  }

  void report(RelayFact fact) {
    effects.accept(new RelayEffect.Report(fact));
  }

  /** What each upstream of a service bears. */
  ServiceBounds bounds(ServiceName service) {
    return admission.configuration().bounds(service);
  }
}
