/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.relay.IncarnationCheck;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RelayEffect.Purpose;
import org.larkkeel.relay.RelayFact;
import org.larkkeel.relay.RelayWorkspace;

/**
 * Tracks the attempts in flight.
 *
 * <p>Invariant: a call has at most one attempt in flight, and the load of the attempt's upstream
 * includes it until the attempt ends. Not thread-safe.
 */
final class Attempts {
  private static final double MILLI = 1e6;

  /** The time after a failure within which an upstream may have started again unlisted. */
  private static final long DOUBT_NANOS = 5_000_000_000L;

  /** The pause of a begun stream after which its upstream may have started again. */
  private static final long SILENT_NANOS = 500_000_000L;

  private final UpstreamTable upstreams;
  private final Timers timers;
  private final Consumer<RelayEffect> effects;
  private final Map<AttemptId, AttemptState> inFlight = new HashMap<>();
  private long lastId;

  Attempts(UpstreamTable upstreams, Timers timers, Consumer<RelayEffect> effects) {
    this.upstreams = upstreams;
    this.timers = timers;
    this.effects = effects;
  }

  /** Returns a copy of all attempts in flight. */
  List<AttemptState> all() {
    return List.copyOf(inFlight.values());
  }

  /** Returns the attempt if it is still in flight. */
  Optional<AttemptState> find(AttemptId id) {
    return Optional.ofNullable(inFlight.get(id)).filter(a -> a.call().attempt == a);
  }

  /**
   * Sends an attempt.
   *
   * @param at now
   * @param c the call, which has no attempt in flight
   * @param choice the chosen upstream
   * @param purpose the purpose of the attempt
   * @param retryPermit the permit of the retry budget; empty for a first attempt
   * @param loadUnits the load that the attempt adds to the upstream
   */
  void send(
      long at,
      CallState c,
      Choice choice,
      Purpose purpose,
      Optional<RetryPermit> retryPermit,
      long loadUnits) {
    AttemptId id = new AttemptId(++lastId);
    AttemptState a =
        new AttemptState(
            id,
            c,
            choice.best(),
            choice.best().path(),
            purpose,
            at,
            retryPermit,
            loadUnits,
            choice.best().totalLoad());
    c.attemptCount++;
    c.arrivalCount++;
    if (a.startsRun()) {
      c.runCount++;
    }
    c.attempt = a;
    c.attemptFirstEventAt = Long.MIN_VALUE;
    c.lastEventAt = Long.MIN_VALUE;
    c.mayBeOfNextIncarnation = false;
    c.pace.reset();
    inFlight.put(id, a);
    choice.best().attemptStarted();
    choice.best().addLoad(loadUnits);
    effects.accept(new RelayEffect.Report(placed(c, a, choice)));
    long timeoutNanos =
        AttemptTimeouts.timeoutNanos(a, upstreams.unitTimes().estimate(a.upstream(), at));
    if (timeoutNanos < c.deadline - at) {
      timers.add(new Timers.Timer.AttemptTimeout(at + timeoutNanos, id));
    }
    timers.add(new Timers.Timer.SilenceCheck(at + UpstreamPaths.SILENCE_NANOS, id));
    effects.accept(
        new RelayEffect.Send(
            id,
            c.call.id(),
            choice.best().upstream(),
            a.path(),
            incarnationCheck(at, a),
            purpose,
            c.deadline,
            AttemptTimeouts.idleTimeoutNanos(a),
            c.workspace.map(RelayWorkspace::name)));
  }

  /**
   * Returns whether the upstream of an attempt is asked for its incarnation first. For a stream
   * that has begun, another build must not answer in place of the listed one. An upstream that
   * failed, or at which a begun stream is silent, may have started again.
   */
  private IncarnationCheck incarnationCheck(long at, AttemptState a) {
    if (a.call().build == null || !a.upstream().incarnation().isKnown()) {
      return IncarnationCheck.NONE;
    }
    boolean isInDoubt = a.upstream().hasFailedHard(at, DOUBT_NANOS) || hasSilentStream(at, a);
    return isInDoubt ? IncarnationCheck.REQUIRE : IncarnationCheck.ASK;
  }

  private boolean hasSilentStream(long at, AttemptState sent) {
    return inFlight.values().stream()
        .anyMatch(
            a ->
                a != sent
                    && a.upstream() == sent.upstream()
                    && a.call().lastEventAt != Long.MIN_VALUE
                    && at - a.call().lastEventAt > SILENT_NANOS);
  }

  private static RelayFact placed(CallState c, AttemptState a, Choice choice) {
    return new RelayFact.Placed(
        c.call.wireId(),
        a.id(),
        a.purpose().getClass().getSimpleName(),
        choice.best().incarnation(),
        choice.best().upstream().build(),
        Optional.ofNullable(c.build),
        a.path(),
        choice.cost() / MILLI,
        choice.runnerUp(),
        choice.runnerUpCost() / MILLI,
        c.attemptCount,
        choice.candidates());
  }

  /** Records that an attempt has ended, for whatever reason. */
  void ended(AttemptState a) {
    inFlight.remove(a.id());
    a.upstream().attemptEnded();
    a.upstream().addLoad(-a.loadUnits());
    a.call().attempt = null;
  }

  /** Reports that the connection of an attempt broke, after the attempt has ended. */
  void reportBroken(long at, AttemptState a) {
    CallState c = a.call();
    long sinceFirstEvent =
        c.attemptFirstEventAt == Long.MIN_VALUE ? -1 : at - c.attemptFirstEventAt;
    effects.accept(
        new RelayEffect.Report(
            new RelayFact.AttemptBroken(
                c.call.wireId(),
                a.id(),
                a.upstream().incarnation(),
                c.call.identity().fingerprint(),
                CallTrait.sharedParts(c.call, c.service),
                c.attemptCount,
                at - a.sentAt(),
                sinceFirstEvent,
                a.upstream().inFlight())));
  }

  /** Reports that an attempt has ended without a usable answer. */
  void reportFailed(AttemptState a, String cause, boolean mayHaveRun) {
    effects.accept(
        new RelayEffect.Report(
            new RelayFact.AttemptFailed(
                a.call().call.wireId(),
                a.id(),
                a.upstream().upstream().name(),
                cause,
                mayHaveRun && a.mayRun())));
  }
}
