/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.larkkeel.relay.RelayConfiguration;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RelayFact;
import org.larkkeel.relay.RelaySettings;
import org.larkkeel.relay.ServiceBounds;
import org.larkkeel.relay.ServiceName;

/**
 * Holds the components of one relay router and passes their effects to the sink.
 *
 * <p>Invariant: all components are created before the first event is handled. Not thread-safe.
 */
final class Core {
  final RelaySettings settings;
  final SplittableRandom random;
  final Timers timers = new Timers();
  final ContendedServices contended;
  final UpstreamTable upstreams;
  final MemoryReservations reservations;
  final Attempts attempts;
  final PrefillResults prefillResults;
  final FinalAnswers answers;
  final RetryBudget retryBudget;
  final Evacuation evacuation;
  final EndedIncarnations endedIncarnations;
  final UpstreamPaths paths;
  final CrashGuard crashGuard;
  final StateConfirmation confirmation;
  final Admission admission;
  final HeldArrivals heldArrivals = new HeldArrivals(timers);
  final HeldQuotas heldQuotas;
  final Quotas quotas;
  final EarlyQuotaRefusals earlyQuotaRefusals;
  final PermitQueue permits = new PermitQueue(this);
  final OpenCalls openCalls = new OpenCalls(this);
  final StreamBuilds streamBuilds = new StreamBuilds(this);
  final ListConfirmation listConfirmation = new ListConfirmation(this::emit);
  final BuildHistoryReads buildHistory = new BuildHistoryReads(this::emit);
  final ResumedStreams resumedStreams = new ResumedStreams(this);
  final Dispatch dispatch = new Dispatch(this);
  final Outcomes outcomes = new Outcomes(this);
  private Consumer<RelayEffect> effects = e -> {};

  Core(RelaySettings settings) {
    final CallAdapters adapters = new CallAdapters(this);
    this.settings = settings;
    this.random = new SplittableRandom(settings.seed());
    this.heldQuotas = new HeldQuotas(settings.tolerance(), settings.nodes());
    this.contended = new ContendedServices(this::configuration, this::isUneven);
    this.upstreams =
        new UpstreamTable(
            settings.missingNanos(), random.split(), heldQuotas, this::engineSpeeds, this::report);
    this.reservations =
        new MemoryReservations(
            upstreams, contended, timers, random, settings, adapters.new PendingCalls());
    this.attempts = new Attempts(upstreams, timers, this::emit);
    this.prefillResults = new PrefillResults(upstreams, this::emit);
    this.answers = new FinalAnswers(this::emit);
    this.retryBudget = new RetryBudget(settings);
    this.evacuation = new Evacuation(upstreams, timers, adapters.new EvacuationRuns());
    this.endedIncarnations =
        new EndedIncarnations(
            reservations, evacuation, adapters.new EndedIncarnationsEnvironment());
    this.paths = new UpstreamPaths(this);
    this.crashGuard =
        new CrashGuard(
            ~settings.seed(), this::emit, adapters.new CrashGuardCalls(), paths::probeNow);
    this.confirmation = new StateConfirmation(timers, this::emit);
    this.admission =
        new Admission(upstreams, random, crashGuard, answers, confirmation, this::emit);
    this.quotas =
        new Quotas(
            timers,
            new SplittableRandom(settings.seed() + 1),
            heldQuotas,
            upstreams.rateLimits(),
            adapters.new QuotaCalls(),
            this::emit);
    this.earlyQuotaRefusals =
        new EarlyQuotaRefusals(admission::configuration, heldQuotas, timers, this::emit);
  }

  private EngineSpeeds engineSpeeds(UpstreamTable table) {
    return new EngineSpeeds(table, timers, new SplittableRandom(settings.seed() + 2), this::report);
  }

  /** Sets the sink that receives all effects. */
  void effects(Consumer<RelayEffect> sink) {
    effects = sink;
  }

  void emit(RelayEffect effect) {
    effects.accept(effect);
  }

  void report(RelayFact fact) {
    effects.accept(new RelayEffect.Report(fact));
  }

  /**
   * Looks up the ranks of all calls by a configuration that has come into force. A call whose rank
   * has changed may now be the next one, or be subject to another fill bound.
   */
  void ranksChanged(long at) {
    boolean orderChanged = false;
    for (CallState c : openCalls.all()) {
      boolean changed = admission.updateRank(c);
      orderChanged |=
          changed && c.isWaiting() && admission.configuration().ranks().isOrdered(c.service);
    }
    if (orderChanged) {
      reservations.placePending(at);
    }
  }

  private RelayConfiguration configuration() {
    return admission.configuration();
  }

  private boolean isUneven(ServiceName service) {
    return upstreams.speeds().wasUneven(service);
  }

  /** Returns the limits that apply to each upstream of a service. */
  ServiceBounds bounds(ServiceName service) {
    return admission.configuration().bounds(service);
  }
}
