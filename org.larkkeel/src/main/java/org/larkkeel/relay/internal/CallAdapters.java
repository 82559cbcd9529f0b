/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.List;
import java.util.Optional;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.event.FailureCause;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.quota.QuotaHolder;
import org.larkkeel.relay.AnswerGrade;
import org.larkkeel.relay.BuildName;
import org.larkkeel.relay.RelayConfiguration;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RelayEffect.Purpose;
import org.larkkeel.relay.Stage;

/**
 * Implements the interfaces through which the components of a router act on its calls.
 *
 * <p>Not thread-safe.
 */
final class CallAdapters {
  private static final long MILLI = 1_000_000L;

  /** The failure cause of an attempt whose upstream restarted. */
  private static final String UPSTREAM_RESTARTED = "UPSTREAM_RESTARTED";

  private final Core core;

  CallAdapters(Core core) {
    this.core = core;
  }

  /**
   * Gives {@link CrashGuard} access to the calls without an attempt in flight, which are refused
   * once they are quarantined.
   */
  final class CrashGuardCalls implements CrashGuard.Calls {
    @Override
    public List<AttemptState> attempts() {
      return core.attempts.all();
    }

    @Override
    public List<CallState> idle() {
      return core.openCalls.all().stream().filter(c -> c.attempt == null).toList();
    }

    @Override
    public void refuse(long at, CallState c, long remainingNanos) {
      if (core.openCalls.contains(c)) {
        core.openCalls.fail(
            at, c, ErrorKind.QUARANTINED, remainingNanos / MILLI, CrashGuard.REFUSAL_DETAIL);
      }
    }

    @Override
    public Optional<BuildName> build(UpstreamIncarnation incarnation) {
      return core.upstreams.find(incarnation).map(s -> s.upstream().build());
    }
  }

  /** Gives {@link Evacuation} access to the runs that it moves. */
  final class EvacuationRuns implements Evacuation.Runs {
    @Override
    public List<AttemptState> attempts() {
      return core.attempts.all();
    }

    @Override
    public Optional<UpstreamState> destination(long at, AttemptState a) {
      CallState c = a.call();
      CallDemand demand =
          CallDemands.move(c, core.admission.configuration(), core.retryBudget.nodes());
      return core.upstreams
          .chooser()
          .choose(
              at,
              c.service,
              Stage::runsCalls,
              s -> s != a.upstream() && c.accepts(s),
              a.upstream().upstream().dataCentre(),
              demand)
          .map(Choice::best);
    }

    @Override
    public boolean canMove(long at, AttemptState a) {
      CallState c = a.call();
      return c.attempt == a
          && c.streamBegan
          && a.mayRun()
          && c.attemptCount < Dispatch.MAX_ATTEMPTS
          && core.bounds(c.service).movesRuns()
          && a.upstream().rateLimit().limit().isEmpty()
          && core.retryBudget.allows(at, c.service);
    }

    @Override
    public Optional<RetryPermit> permitContinuation(long at, AttemptState a) {
      return core.dispatch.acquirePermit(at, a.call());
    }

    @Override
    public void streamEnded(long at, AttemptId id, Optional<AnswerGrade> grade) {
      if (grade.isPresent()) {
        core.outcomes.answered(at, id, grade.get());
      } else {
        core.outcomes.lost(at, id, FailureCause.CONNECTION_LOST);
      }
    }

    @Override
    public Optional<AttemptId> continueRun(long at, Evacuation.Move move, String handle) {
      AttemptState a = move.attempt;
      core.openCalls.attemptEnded(at, a);
      if (!move.destination.acceptsWork(at)) {
        move.permit().ifPresent(RetryPermit::release);
        core.outcomes.retryOrFail(at, a, "DESTINATION_CLOSED");
        return Optional.empty();
      }
      a.call().reserveAt(move.destination, move.reservedUnits);
      Purpose purpose = new Purpose.Continue(a.upstream().upstream(), handle);
      core.dispatch.send(
          at, a.call(), new Choice(move.destination, 0, "", 0, 1), purpose, 0, move.permit());
      return Optional.ofNullable(a.call().attempt).map(AttemptState::id);
    }

    @Override
    public void emit(RelayEffect effect) {
      core.emit(effect);
    }
  }

  /** Gives {@link EndedIncarnations} access to the calls and their attempts. */
  final class EndedIncarnationsEnvironment implements EndedIncarnations.Environment {
    @Override
    public List<CallState> calls() {
      return core.openCalls.all();
    }

    @Override
    public void attemptLost(long at, AttemptState a) {
      core.crashGuard.endedWithAttempt(at, a, "restarted");
      core.openCalls.cancelAttempt(at, a.call());
      a.call().prefilledPrompt = null;
      core.attempts.reportFailed(a, UPSTREAM_RESTARTED, true);
      core.outcomes.retryOrFail(at, a, UPSTREAM_RESTARTED);
    }
  }

  /** Gives {@link Quotas} access to the calls that take tokens. */
  final class QuotaCalls implements Quotas.Calls {
    @Override
    public RelayConfiguration configuration() {
      return core.admission.configuration();
    }

    @Override
    public Optional<CallState> find(QuotaHolder.Outcome outcome) {
      return core.openCalls.find(outcome.call());
    }

    @Override
    public void admitted(long at, CallState c) {
      core.dispatch.quotaGranted(at, c);
    }

    @Override
    public void permitsGranted(long at) {
      core.permits.granted(at);
      core.reservations.placePending(at);
    }

    @Override
    public void refuse(long at, CallState c, ErrorKind kind, long retryAfterMillis, String detail) {
      core.openCalls.fail(at, c, kind, retryAfterMillis, detail);
    }
  }

  /** Gives {@link MemoryReservations} access to the calls that need reservations. */
  final class PendingCalls implements ReservationCalls {
    @Override
    public RelayConfiguration configuration() {
      return core.admission.configuration();
    }

    @Override
    public int nodes() {
      return core.retryBudget.nodes();
    }

    @Override
    public boolean isDraining() {
      return core.dispatch.isDraining();
    }

    @Override
    public boolean isUsable(long at, CallState c, UpstreamState s) {
      return core.dispatch.isUsable(at, c, s);
    }

    @Override
    public void start(long at, CallState c, Optional<Choice> prefillUpstream) {
      core.dispatch.start(at, c, prefillUpstream);
    }

    @Override
    public void force(long at, CallState c) {
      core.dispatch.place(at, c, CallDemands.withoutMemoryLimit(core.reservations.demand(c, at)));
    }

    @Override
    public void fail(long at, CallState c, ErrorKind kind, String detail) {
      core.openCalls.fail(at, c, kind, detail);
    }

    @Override
    public void refuseWithRetryAfter(long at, CallState c, long retryAfterMillis, String detail) {
      core.openCalls.fail(at, c, ErrorKind.OVERLOADED, retryAfterMillis, detail);
    }

    @Override
    public void emit(RelayEffect effect) {
      core.emit(effect);
    }
  }
}
