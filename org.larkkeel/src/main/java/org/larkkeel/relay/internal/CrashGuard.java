/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.larkkeel.lib.Fingerprint;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.relay.AnswerGrade;
import org.larkkeel.relay.BuildName;
import org.larkkeel.relay.CrashSuspect;
import org.larkkeel.relay.ProbeResult;
import org.larkkeel.relay.RelayCall;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RelayFact;
import org.larkkeel.relay.ServiceName;
import org.larkkeel.relay.SuspectScope;

/**
 * Keeps requests that crash upstreams from being sent to further upstreams, also if only a part of
 * their prompts is the same.
 *
 * <p>{@link CrashEvidence} detects crashes, {@link Quarantine} counts them for each {@link
 * CallTrait}, and {@link HarmlessParts} knows what did not cause them; this class applies all to
 * the calls of this node and to the reports of other nodes. Not thread-safe.
 */
final class CrashGuard {
  /** The detail of the refusal of a quarantined request. */
  static final String REFUSAL_DETAIL =
      "upstreams have ended that ran this request, or others with a part of its prompt";

  private final Calls calls;
  private final Consumer<RelayEffect> effects;
  private final Quarantine quarantine;
  private final CrashEvidence evidence;
  private final HarmlessParts harmlessParts = new HarmlessParts();

  /** Access to the calls, and to the builds of upstreams. */
  interface Calls {
    /** Returns the attempts in flight. */
    List<AttemptState> attempts();

    /** Returns a copy of the calls without an attempt in flight. */
    List<CallState> idle();

    /**
     * Refuses a call that is quarantined for {@code remainingNanos} more; does nothing if the call
     * has ended.
     */
    void refuse(long at, CallState c, long remainingNanos);

    /** Returns the build of an upstream; empty if the upstream is not known. */
    Optional<BuildName> build(UpstreamIncarnation incarnation);
  }

  CrashGuard(
      long seed, Consumer<RelayEffect> effects, Calls calls, Consumer<UpstreamState> prober) {
    this.calls = calls;
    this.effects = effects;
    this.quarantine = new Quarantine(new SplittableRandom(seed));
    this.evidence = new CrashEvidence(effects, this::crashed, prober);
  }

  /**
   * Returns the remaining quarantine of a call in nanoseconds and reports it; 0 if the call may be
   * sent.
   */
  long remainingNanos(long at, RelayCall call, ServiceName service) {
    if (!quarantine.hasVerdicts()) {
      return 0;
    }
    for (CallTrait trait : CallTrait.of(call, service)) {
      long remaining = quarantine.remainingNanos(at, trait);
      if (remaining > 0) {
        report(
            new RelayFact.Quarantined(
                call.wireId(),
                trait.id(),
                trait.scope(),
                quarantine.crashCount(trait.id()),
                remaining));
        return remaining;
      }
    }
    return 0;
  }

  /** Returns the remaining quarantine of a suspect in nanoseconds; 0 if it is not quarantined. */
  long remainingNanos(long at, Fingerprint suspect) {
    return quarantine.remainingNanos(at, suspect);
  }

  /**
   * Handles the complete answer of an upstream to a call. A good one proves that neither the
   * request nor a part of its prompt crashes upstreams. A failure or a rejection proves nothing:
   * the upstream may have answered before it began to generate.
   */
  void answered(long at, AttemptState a, AnswerGrade grade) {
    if (grade != AnswerGrade.GOOD) {
      return;
    }
    partsServed(at, a, HarmlessParts.COMPLETE);
    if (!quarantine.isEmpty()) {
      clear(at, CallTrait.of(a.call().call, a.call().service), t -> quarantine.clear(at, t.id()));
    }
  }

  /** Records that a stream with the parts of an attempt's prompt has run for some time. */
  private void partsServed(long at, AttemptState a, long streamedNanos) {
    BuildName build = a.upstream().upstream().build();
    for (Fingerprint part : CallTrait.sharedParts(a.call().call, a.call().service)) {
      harmlessParts.served(at, part, build, streamedNanos);
    }
  }

  /** Reports those of some traits that {@code clearance} has cleared. */
  private void clear(long at, List<CallTrait> traits, Predicate<CallTrait> clearance) {
    Set<Fingerprint> lasting = lasting(traits.stream().map(CallTrait::id));
    Set<Fingerprint> cleared = new LinkedHashSet<>();
    for (CallTrait trait : traits) {
      if (clearance.test(trait)) {
        report(new RelayFact.Cleared(trait.id(), trait.scope(), "answered"));
        cleared.add(trait.id());
      }
    }
    sendReports(at, cleared);
    store(at, cleared, lasting);
  }

  /** Handles a connection that broke while its upstream had the attempt. */
  void connectionLost(long at, AttemptState a) {
    long streamed = CrashEvidence.streamedNanos(at, a);
    partsServed(at, a, streamed);
    if (streamed > 0 && !quarantine.isEmpty()) {
      clear(at, parts(a.call()), t -> quarantine.clearIfOutlived(at, t.id(), streamed));
    }
    evidence.connectionLost(at, a);
  }

  private static List<CallTrait> parts(CallState c) {
    return CallTrait.of(c.call, c.service).stream()
        .filter(t -> t.scope() instanceof SuspectScope.PromptPart)
        .toList();
  }

  /** Handles the proven end of an incarnation with an attempt that is still in flight. */
  void endedWithAttempt(long at, AttemptState a, String proof) {
    evidence.endedWithAttempt(at, a, proof);
  }

  /** Handles the proven end of an incarnation. */
  void incarnationEnded(long at, UpstreamIncarnation incarnation, String proof) {
    evidence.incarnationEnded(at, incarnation, proof);
  }

  /**
   * Handles the result of a probe of an upstream.
   *
   * @param isProof whether a refusal proves that the upstream has ended
   */
  void probed(long at, UpstreamIncarnation incarnation, ProbeResult result, boolean isProof) {
    evidence.probed(at, incarnation, result, isProof);
  }

  /** Returns the suspects to report to other nodes. */
  ImmutableList<CrashSuspect> suspects(long at) {
    return quarantine.reports(at);
  }

  /**
   * Records the parts of prompts whose streams are running. At an upstream that has crashed, a
   * stream may be one that caused it and whose connection has not broken yet.
   */
  private void recordRunningParts(long at, Set<UpstreamIncarnation> crashed) {
    for (AttemptState a : calls.attempts()) {
      long streamed = CrashEvidence.streamedNanos(at, a);
      if (!crashed.contains(a.upstream().incarnation())
          || !CrashEvidence.arePartsSuspect(streamed)) {
        partsServed(at, a, streamed);
      }
    }
  }

  /** Merges the suspects that another node reports. */
  void merge(long at, ImmutableList<CrashSuspect> reports) {
    Set<UpstreamIncarnation> crashed = new HashSet<>();
    reports.stream()
        .filter(CrashGuard::chargesPart)
        .forEach(s -> crashed.addAll(s.crashes().keySet()));
    if (!crashed.isEmpty()) {
      recordRunningParts(at, crashed);
    }
    final ImmutableSet<Fingerprint> before = quarantine.quarantined(at);
    final ImmutableSet<Fingerprint> lastingHere =
        lasting(reports.stream().map(CrashSuspect::id).filter(quarantine::isDetectedHere));
    for (CrashSuspect s : reports) {
      if (isRefuted(at, s)) {
        quarantine.refute(at, s);
      } else {
        quarantine.merge(at, s);
      }
    }
    Set<Fingerprint> added = Sets.difference(quarantine.quarantined(at), before);
    added.forEach(id -> reportSuspected(at, id, "peer"));
    sendReports(at, Sets.filter(added, quarantine::isDetectedHere));
    storeMerged(at, reports, added, lastingHere);
    if (!added.isEmpty()) {
      refuseQuarantined(at);
    }
  }

  private static boolean chargesPart(CrashSuspect s) {
    return s.scope() instanceof SuspectScope.PromptPart && !s.crashes().isEmpty();
  }

  /**
   * Returns whether this node knows that a reported part of prompts caused none of the crashes. A
   * reporter may only have had requests that began shortly before another node's request with the
   * part crashed the upstream, so the crashes that are known here are considered as well.
   */
  private boolean isRefuted(long at, CrashSuspect s) {
    if (!chargesPart(s) || quarantine.isOutdated(s)) {
      return false;
    }
    long crashNanos = quarantine.maxStreamedNanos(s);
    return StreamTimes.alike(s.crashes(), CrashSuspect.Crash::streamedNanos).entrySet().stream()
        .allMatch(
            c ->
                isHarmless(
                    at, s.id(), c.getKey(), Math.max(crashNanos, c.getValue().streamedNanos())));
  }

  private boolean isHarmless(
      long at, Fingerprint part, UpstreamIncarnation incarnation, long crashNanos) {
    return calls
        .build(incarnation)
        .filter(build -> harmlessParts.contains(at, part, build, crashNanos))
        .isPresent();
  }

  private boolean isHarmless(long at, CallTrait trait, UpstreamState upstream, long crashNanos) {
    return trait.scope() instanceof SuspectScope.PromptPart
        && harmlessParts.contains(at, trait.id(), upstream.upstream().build(), crashNanos);
  }

  /** Releases a suspect from quarantine, as ordered by an operator. */
  void released(long at, Fingerprint id) {
    Optional<CrashSuspect> known = quarantine.find(at, id);
    Set<Fingerprint> lasting = lasting(Stream.of(id));
    if (quarantine.clear(at, id)) {
      report(new RelayFact.Cleared(id, known.orElseThrow().scope(), "released"));
      sendReports(at, Set.of(id));
      store(at, Set.of(id), lasting);
    }
  }

  private void crashed(
      long at, UpstreamState upstream, ImmutableList<CrashEvidence.LostAttempt> attempts) {
    recordRunningParts(at, Set.of(upstream.incarnation()));
    final ImmutableSet<Fingerprint> before = quarantine.quarantined(at);
    Set<Fingerprint> suspected = new LinkedHashSet<>();
    for (CrashEvidence.LostAttempt a : attempts) {
      for (CallTrait trait : a.traits()) {
        if (!isHarmless(at, trait, upstream, a.time().streamedNanos())
            && quarantine.recordCrash(at, trait, upstream.incarnation(), a.time())) {
          suspected.add(trait.id());
        }
      }
    }
    suspected.forEach(id -> reportSuspected(at, id, "self"));
    sendReports(at, suspected);
    store(at, suspected, lasting(suspected.stream()));
    if (!before.containsAll(quarantine.quarantined(at))) {
      refuseQuarantined(at);
    }
  }

  private void reportSuspected(long at, Fingerprint id, String source) {
    quarantine
        .find(at, id)
        .ifPresent(
            s ->
                report(
                    new RelayFact.Suspected(
                        id,
                        s.scope(),
                        s.crashes().size(),
                        quarantine.remainingNanos(at, id),
                        source)));
  }

  private void sendReports(long at, Set<Fingerprint> ids) {
    ImmutableList<CrashSuspect> news = find(at, ids);
    if (!news.isEmpty()) {
      effects.accept(new RelayEffect.ReportSuspects(news));
    }
  }

  private ImmutableList<CrashSuspect> find(long at, Set<Fingerprint> ids) {
    return ids.stream()
        .flatMap(id -> quarantine.find(at, id).stream())
        .collect(ImmutableList.toImmutableList());
  }

  /**
   * Stores what a merge has shown of suspects whose crashes this node has detected: that they are
   * quarantined, that it is not the only node that has detected one, or that they are cleared.
   * Further crashes are stored by the nodes that detect them.
   *
   * @param added the suspects that are quarantined since
   * @param before the suspects with crashes detected here of which everything new was stored before
   */
  private void storeMerged(
      long at,
      ImmutableList<CrashSuspect> reports,
      Set<Fingerprint> added,
      Set<Fingerprint> before) {
    Set<Fingerprint> news = new LinkedHashSet<>(Sets.filter(added, quarantine::isDetectedHere));
    lasting(reports.stream().map(CrashSuspect::id).filter(quarantine::isDetectedHere)).stream()
        .filter(id -> !before.contains(id))
        .forEach(news::add);
    before.stream().filter(id -> quarantine.crashCount(id) == 0).forEach(news::add);
    store(at, news, news);
  }

  /** Returns those of some suspects of which everything new must outlast all nodes. */
  private ImmutableSet<Fingerprint> lasting(Stream<Fingerprint> ids) {
    return ids.filter(quarantine::mustOutlast).collect(ImmutableSet.toImmutableSet());
  }

  /**
   * Stores the suspects of which something new is known. A clearance is stored as well: nodes that
   * start after all have ended find the crashes in the store and would not know of it.
   */
  private void store(long at, Set<Fingerprint> ids, Set<Fingerprint> lasting) {
    ImmutableList<CrashSuspect> news = find(at, ids);
    if (!news.isEmpty()) {
      effects.accept(
          new RelayEffect.StoreSuspects(
              news, ImmutableSet.copyOf(Sets.intersection(ids, lasting))));
    }
  }

  /** Refuses the calls that wait and are quarantined now. */
  private void refuseQuarantined(long at) {
    for (CallState c : calls.idle()) {
      long remaining = remainingNanos(at, c.call, c.service);
      if (remaining > 0) {
        calls.refuse(at, c, remaining);
      }
    }
  }

  private void report(RelayFact fact) {
    effects.accept(new RelayEffect.Report(fact));
  }
}
