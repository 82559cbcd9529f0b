/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.http.relay.RelayListener;
import org.larkkeel.relay.AnswerEcho;
import org.larkkeel.relay.AnswerGrade;
import org.larkkeel.relay.CallRank;
import org.larkkeel.relay.RelayFact;
import org.larkkeel.store.CollectionMirror;
import org.larkkeel.store.EntryProblem;
import org.larkkeel.time.BootClock;

/**
 * Records facts as metrics, by rule and outcome and never by request.
 *
 * <p>Thread-safe.
 *
 * @since 0.1
 */
public final class RelayMeters implements Consumer<RelayFact> {
  private static final String RULE = "rule";
  private static final Duration MIN_LATENCY = Duration.ofMillis(1);
  private static final Duration MAX_LATENCY = Duration.ofSeconds(30);
  private static final Duration[] LATENCY_BUCKETS = {
    Duration.ofMillis(50),
    Duration.ofMillis(100),
    Duration.ofMillis(200),
    Duration.ofMillis(400),
    Duration.ofMillis(900),
    Duration.ofMillis(2_000),
    Duration.ofMillis(5_000),
    Duration.ofMillis(15_000)
  };

  /**
   * The maximum number of ranks with a label of their own: a configuration can name a million
   * ranks, and each label is a time series for each service.
   */
  private static final int MAX_RANK_LABELS = 32;

  private static final String OTHER_RANKS = "other";

  private final Set<CallRank> rankLabels = ConcurrentHashMap.newKeySet();
  private final MeterRegistry registry;
  private final AtomicLong revision = new AtomicLong();
  private final AtomicLong revisionNanos = new AtomicLong();
  private final AtomicLong placementPasses = new AtomicLong();

  /** Registers the gauges; the names of all metrics are listed in docs/OPERATIONS.md. */
  public RelayMeters(MeterRegistry registry) {
    this.registry = registry;
    ExtensionCounts.PROCESS.register(registry);
    Gauge.builder("larkkeel.relay.configuration.revision", revision, AtomicLong::get)
        .register(registry);
    FunctionCounter.builder(
            "larkkeel.relay.placement.passes", placementPasses, AtomicLong::doubleValue)
        .register(registry);
    Gauge.builder("larkkeel.relay.configuration.age", this, m -> m.ageSeconds())
        .baseUnit("seconds")
        .register(registry);
  }

  private double ageSeconds() {
    long at = revisionNanos.get();
    return at == 0 ? 0 : (BootClock.SYSTEM.nanoTime() - at) / 1e9;
  }

  @Override
  public void accept(RelayFact fact) {
    switch (fact) {
      case RelayFact.Answered f -> answered(f);
      case RelayFact.Refused f -> refused(f);
      case RelayFact.QuotaDecided f ->
          registry
              .counter(
                  "larkkeel.relay.quota", "outcome", f.outcome().name().toLowerCase(Locale.ROOT))
              .increment();
      case RelayFact.QuotaRefusedEarly f ->
          registry.counter("larkkeel.relay.quota", "outcome", "refused_early").increment(f.calls());
      case RelayFact.CallerLeft f -> calls(f.rule(), "caller_left").increment();
      case RelayFact.AttemptFailed f ->
          registry.counter("larkkeel.relay.attempts.failed", "cause", f.cause()).increment();
      case RelayFact.AttemptBroken f ->
          registry
              .counter(
                  "larkkeel.relay.attempts.broken",
                  "begun",
                  String.valueOf(f.sinceFirstEventNanos() >= 0))
              .increment();
      case RelayFact.Probed f ->
          registry
              .counter(
                  "larkkeel.relay.upstream.probes",
                  "path",
                  label(f.path()),
                  "result",
                  label(f.result()))
              .increment();
      case RelayFact.PathChanged f ->
          registry
              .counter("larkkeel.relay.paths", "service", f.service(), "change", label(f.change()))
              .increment();
      case RelayFact.UpstreamEnded f ->
          registry.counter("larkkeel.relay.upstream.ends", "proof", f.proof()).increment();
      case RelayFact.Suspected f ->
          registry
              .counter(
                  "larkkeel.relay.suspects",
                  "scope",
                  f.scope().word(),
                  "quarantined",
                  String.valueOf(f.remainingNanos() > 0),
                  "source",
                  f.source())
              .increment();
      case RelayFact.Quarantined f ->
          registry
              .counter("larkkeel.relay.quarantine.refusals", "scope", f.scope().word())
              .increment();
      case RelayFact.Cleared f ->
          registry
              .counter(
                  "larkkeel.relay.suspects.cleared", "scope", f.scope().word(), "cause", f.cause())
              .increment();
      case RelayFact.AnswerHead f -> {
        if (f.echo() != AnswerEcho.OWN) {
          registry.counter("larkkeel.relay.answers.unmatched", "echo", label(f.echo())).increment();
        }
      }
      case RelayFact.AnswerEnded f ->
          registry
              .counter(
                  "larkkeel.relay.answers.ended",
                  "path",
                  label(f.path()),
                  "framing",
                  label(f.framing()),
                  "end",
                  label(f.end()))
              .increment();
      case RelayFact.Cancelled f ->
          registry
              .counter("larkkeel.relay.attempts.cancelled", "progress", f.progress().name())
              .increment();
      case RelayFact.OverloadDecided f ->
          registry
              .counter(
                  "larkkeel.relay.overload",
                  "service",
                  f.service(),
                  "decision",
                  f.decision().name().toLowerCase(Locale.ROOT))
              .increment();
      case RelayFact.ReturnPromise f ->
          registry
              .counter(
                  "larkkeel.relay.returns",
                  "service",
                  f.service(),
                  "change",
                  f.change().name().toLowerCase(Locale.ROOT))
              .increment();
      case RelayFact.Placed f ->
          registry
              .counter("larkkeel.relay.attempts", "purpose", f.purpose(), "path", label(f.path()))
              .increment();
      case RelayFact.WriterUnknown f ->
          registry.counter("larkkeel.relay.streams.writer.unknown").increment();
      case RelayFact.IncarnationChecked f ->
          registry
              .timer("larkkeel.relay.incarnation.checks", "answer", label(f.answer()))
              .record(f.nanos(), TimeUnit.NANOSECONDS);
      case RelayFact.PromptRead f ->
          latency("larkkeel.relay.prompt", "all").record(f.nanos(), TimeUnit.NANOSECONDS);
      case RelayFact.RunMoved f ->
          registry
              .counter(
                  "larkkeel.relay.moves",
                  "step",
                  f.step().name(),
                  "result",
                  f.result().getClass().getSimpleName())
              .increment();
      case RelayFact.PromptWasted f ->
          registry.counter("larkkeel.relay.prompt.wasted.tokens").increment(f.tokens());
      case RelayFact.CoordinatorSuspected f ->
          registry.counter("larkkeel.relay.room.suspicions", "cause", f.cause()).increment();
      case RelayFact.CoordinatorAnswered f ->
          latency("larkkeel.relay.room.answer", "all").record(f.nanos(), TimeUnit.NANOSECONDS);
      case RelayFact.BudgetSpent f ->
          registry.counter("larkkeel.relay.budget.spent", "service", f.service()).increment();
      case RelayFact.HeldCallsAdmitted f ->
          registry.counter("larkkeel.relay.calls.held").increment(f.calls());
      case RelayFact.BudgetUsed f ->
          registry
              .summary("larkkeel.relay.budget.use", "service", f.service())
              .record(f.used() / Math.max(1, f.allowed()));
      case RelayFact.BackoffRequested f -> registry.counter("larkkeel.relay.rests").increment();
      case RelayFact.PermitAwaited f ->
          registry.counter("larkkeel.relay.permits.awaited", "service", f.service()).increment();
      case RelayFact.RateLimit f ->
          registry
              .counter(
                  "larkkeel.relay.rate.limits",
                  "change",
                  f.change().name().toLowerCase(Locale.ROOT),
                  "source",
                  f.source())
              .increment();
      case RelayFact.SpeedSampleDropped f ->
          registry
              .counter(
                  "larkkeel.relay.speed.samples.dropped",
                  "kind",
                  label(f.sample().kind()),
                  "result",
                  label(f.result()))
              .increment();
      case RelayFact.SpeedsChanged f ->
          registry
              .counter(
                  "larkkeel.relay.speeds.changes",
                  "kind",
                  label(f.kind()),
                  "used",
                  String.valueOf(f.used()))
              .increment();
      case RelayFact.SlowStartBegan f -> registry.counter("larkkeel.relay.slow.starts").increment();
      case RelayFact.Ejected f ->
          registry.counter("larkkeel.relay.ejections", "cause", f.cause()).increment();
      case RelayFact.UpstreamChanged f ->
          registry.counter("larkkeel.relay.upstream.changes", "change", f.change()).increment();
      case RelayFact.Resumed f -> registry.counter("larkkeel.relay.suspensions").increment();
      case RelayFact.LoopStalled f ->
          registry.timer("larkkeel.relay.loop.stalls").record(f.nanos(), TimeUnit.NANOSECONDS);
      case RelayFact.StreamResolved f ->
          registry
              .counter(
                  "larkkeel.relay.streams.resumed",
                  "source",
                  label(f.source()),
                  "witness",
                  label(f.witness()))
              .increment();
      case RelayFact.StateDoubted f ->
          registry.counter("larkkeel.relay.state.doubts", "cause", label(f.cause())).increment();
      case RelayFact.StateTrusted f ->
          registry
              .timer("larkkeel.relay.state.doubt", "result", label(f.result()))
              .record(f.nanos(), TimeUnit.NANOSECONDS);
      case RelayFact.MessagesHeldLoop f ->
          registry.counter("larkkeel.relay.loop.held", "by", "messages").increment();
      case RelayFact.InForce f -> {
        revision.set(f.revision());
        revisionNanos.set(BootClock.SYSTEM.nanoTime());
      }
      case RelayFact.Waiting f ->
          registry
              .counter("larkkeel.relay.waiting", "service", f.service(), "rank", rank(f.rank()))
              .increment();
      case RelayFact.WaitContinued f ->
          registry.counter("larkkeel.relay.waits.continued", "service", f.service()).increment();
      case RelayFact.EngineDedicated f ->
          registry.counter("larkkeel.relay.dedications", "service", f.service()).increment();
      case RelayFact.DedicationEnded f ->
          registry
              .counter(
                  "larkkeel.relay.dedications.ended",
                  "service",
                  f.service(),
                  "reason",
                  f.reason().name().toLowerCase(Locale.ROOT))
              .increment();
      case RelayFact.ReservationMade f ->
          latency("larkkeel.relay.room", "all").record(f.waitedNanos(), TimeUnit.NANOSECONDS);
      case RelayFact.ReservationGranted f ->
          latency("larkkeel.relay.room.given", "all").record(f.waitedNanos(), TimeUnit.NANOSECONDS);
      case RelayFact.Began f -> {}
      case RelayFact.Admitted f -> {}
      case RelayFact.Restored f -> {}
      case RelayFact.Stale f -> {}
    }
  }

  /** Returns the label of a rank: its text for the first ranks seen, then {@link #OTHER_RANKS}. */
  private String rank(CallRank rank) {
    if (!rankLabels.contains(rank)) {
      if (rankLabels.size() >= MAX_RANK_LABELS) {
        return OTHER_RANKS;
      }
      rankLabels.add(rank);
    }
    return rank.toString();
  }

  /** Counts an unreadable entry of the store. */
  void unreadable(String collection, EntryProblem.Reason reason) {
    registry
        .counter(
            "larkkeel.relay.entries.unreadable",
            "collection",
            collection,
            "reason",
            reason.name().toLowerCase(Locale.ROOT))
        .increment();
  }

  /** Registers metrics of the mirror of a collection of the store. */
  void watchMirror(String collection, CollectionMirror mirror) {
    Gauge.builder(
            "larkkeel.relay.store.silence", mirror, m -> m.timeSinceLastAnswer().toNanos() / 1e9)
        .baseUnit("seconds")
        .tag("collection", collection)
        .register(registry);
    FunctionCounter.builder("larkkeel.relay.store.losses", mirror, CollectionMirror::losses)
        .tag("collection", collection)
        .register(registry);
  }

  /** Sets the number of passes over the queue of waiting calls so far. */
  void placementPasses(long passes) {
    placementPasses.set(passes);
  }

  /** Registers the number of connections that a listener closed before it read a request. */
  void register(RelayListener listener) {
    FunctionCounter.builder(
            "larkkeel.relay.connections.closed.unread", listener, RelayListener::closedUnread)
        .register(registry);
  }

  /** Records the result of a request for a copy of the store's state. */
  void copy(String result) {
    registry.counter("larkkeel.relay.copies", "result", result).increment();
  }

  private static String label(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT);
  }

  private void answered(RelayFact.Answered f) {
    String outcome =
        f.grade() == AnswerGrade.GOOD
            ? f.onTarget() ? "on_target" : "late"
            : "upstream_" + f.grade().name().toLowerCase(Locale.ROOT);
    calls(f.rule(), outcome).increment();
    latency("larkkeel.relay.first", f.rule()).record(f.firstNanos(), TimeUnit.NANOSECONDS);
    latency("larkkeel.relay.whole", f.rule()).record(f.nanos(), TimeUnit.NANOSECONDS);
  }

  private void refused(RelayFact.Refused f) {
    ErrorKind kind = f.kind();
    String outcome = f.streaming() ? "cut_" + kind.slug() : kind.slug();
    calls(f.rule().isEmpty() ? "none" : f.rule(), outcome).increment();
  }

  private Counter calls(String rule, String outcome) {
    return registry.counter("larkkeel.relay.calls", RULE, rule, "outcome", outcome);
  }

  private Timer latency(String name, String rule) {
    return Timer.builder(name)
        .tag(RULE, rule)
        .minimumExpectedValue(MIN_LATENCY)
        .maximumExpectedValue(MAX_LATENCY)
        .serviceLevelObjectives(LATENCY_BUCKETS)
        .register(registry);
  }
}
