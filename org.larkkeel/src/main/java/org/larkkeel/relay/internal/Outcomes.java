/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.Optional;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.event.FailureCause;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.relay.AnswerGrade;
import org.larkkeel.relay.RefusalCause;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RelayEffect.Purpose;
import org.larkkeel.relay.RelayFact;
import org.larkkeel.relay.RelayUpstream;
import org.larkkeel.relay.ServiceBounds;
import org.larkkeel.relay.Stage;
import org.larkkeel.relay.UpstreamPath;

/**
 * Decides what follows from the outcome of an attempt: the final answer, another attempt, or a
 * failure.
 *
 * <p>Invariant: a call that may run only once is sent again only if no earlier attempt may have run
 * it. Not thread-safe.
 */
public final class Outcomes {
  private static final long MILLI = 1_000_000L;

  private final Core core;

  Outcomes(Core core) {
    this.core = core;
  }

  /** Handles a prompt that was prefilled for another upstream. */
  public void promptRead(long at, AttemptId id, String handle) {
    AttemptState a = find(id);
    if (a == null) {
      return;
    }
    a.received(at);
    core.openCalls.attemptEnded(at, a);
    core.paths.heard(at, a);
    CallState c = a.call();
    recordSuccess(at, a);
    if (a.retryPermit().isEmpty() && !c.hadPrefill) {
      c.arrivalCount--;
    }
    c.hadPrefill = true;
    core.upstreams.speeds().promptPrefilled(at, a);
    RelayUpstream source = a.upstream().upstream();
    core.report(new RelayFact.PromptRead(c.call.wireId(), id, source.name(), at - a.sentAt()));
    c.prefillUpstream = source.incarnation();
    c.prefilledPrompt = new Purpose.TakeOver(source, handle);
    core.dispatch.run(at, c);
  }

  private void recordSuccess(long at, AttemptState a) {
    core.prefillResults.confirmLoss(at, a);
    boolean wasEjected = a.upstream().hasBeenEjected();
    a.upstream().succeeded(at);
    if (wasEjected) {
      core.report(new RelayFact.Restored(a.upstream().upstream().name()));
    }
    core.upstreams.unitTimes().record(a.upstream(), at, (at - a.sentAt()) / a.call().workUnits());
  }

  /** Handles the first event of a stream. */
  public void began(long at, AttemptId id) {
    AttemptState a = find(id);
    if (a == null) {
      return;
    }
    core.paths.heard(at, a);
    a.received(at);
    CallState c = a.call();
    if (a.continuesRun()) {
      core.evacuation.attemptBegan(id);
      a.upstream().succeeded(at);
    } else {
      recordSuccess(at, a);
    }
    c.prefilledPrompt = null;
    core.streamBuilds.began(at, c, a.upstream());
    c.attemptFirstEventAt = at;
    c.lastEventAt = at;
    if (!c.streamBegan) {
      c.streamBegan = true;
      c.streamBeganAt = at;
    }
    core.report(
        new RelayFact.Began(
            c.call.wireId(),
            id,
            a.upstream().upstream().name(),
            a.upstream().upstream().build(),
            at - c.arrivedAt));
    core.emit(new RelayEffect.ForwardStream(c.call.id(), id));
  }

  /** Handles further events of a stream. */
  public void progressed(long at, AttemptId id, int events) {
    AttemptState a = find(id);
    if (a == null) {
      return;
    }
    CallState c = a.call();
    c.lastEventAt = at;
    if (c.reservedUpstream == null) {
      return;
    }
    core.paths.heard(at, a);
    ServiceBounds bounds = core.bounds(c.service);
    c.generatedTokens += (long) events * bounds.tokensPerEvent();
    long tokens = CallDemands.memoryTokens(c);
    c.reservedUpstream.addLoad(tokens - c.reservedUnits);
    c.reservedUnits = tokens;
    if (bounds.memoryTokens() > 0) {
      core.upstreams.speeds().runProgressed(at, a, events, bounds.memoryTokens());
    }
  }

  /** Handles a complete answer. */
  public void answered(long at, AttemptId id, AnswerGrade grade) {
    AttemptState a = find(id);
    if (a == null || core.evacuation.withholdsEnd(at, id, Optional.of(grade))) {
      return;
    }
    core.paths.heard(at, a);
    a.received(at);
    CallState c = a.call();
    core.crashGuard.answered(at, a, grade);
    if (grade == AnswerGrade.GOOD && !c.streamBegan) {
      recordSuccess(at, a);
    } else if (grade == AnswerGrade.FAILED) {
      a.upstream().failed(at);
      if (mayRunAgain(at, c)) {
        core.openCalls.attemptEnded(at, a);
        core.attempts.reportFailed(a, "answered_failure", true);
        retryElsewhere(at, a);
        return;
      }
    }
    if (grade == AnswerGrade.GOOD) {
      core.evacuation.attemptBegan(id);
    }
    core.openCalls.attemptEnded(at, a);
    if (c.streamBegan && grade != AnswerGrade.GOOD) {
      // The caller has the beginning of a stream, which no other answer can replace.
      core.attempts.reportFailed(a, "answered_failure", true);
      core.openCalls.fail(at, c, ErrorKind.UPSTREAM_FAILED, "the stream could not go on");
      return;
    }
    long firstEventNanos = (c.streamBegan ? c.streamBeganAt : at) - c.arrivedAt;
    core.report(
        new RelayFact.Answered(
            c.call.wireId(),
            id,
            a.upstream().upstream().name(),
            c.rule.name().value(),
            grade,
            firstEventNanos,
            at - c.arrivedAt,
            grade == AnswerGrade.GOOD && firstEventNanos <= c.rule.targetMillis() * MILLI));
    c.prefilledPrompt = null;
    core.openCalls.remove(c);
    core.emit(new RelayEffect.Deliver(c.call.id(), id));
    core.reservations.placePending(at);
  }

  /** Runs a call at an upstream other than that of an attempt. */
  private void retryElsewhere(long at, AttemptState a) {
    a.call().suspectUpstream = null;
    a.call().excluded.add(a.upstream().incarnation());
    core.dispatch.run(at, a.call());
  }

  /** Returns whether a call whose last attempt may have run may be sent again. */
  boolean mayRunAgain(long at, CallState c) {
    return c.rule.kind().isRepeatable()
        && c.runCount < c.rule.maxRuns()
        && c.attemptCount < Dispatch.MAX_ATTEMPTS
        && at < c.deadline
        && core.retryBudget.allows(at, c.service);
  }

  /** Handles an attempt that has not run. */
  public void refused(long at, AttemptId id, RefusalCause cause) {
    AttemptState a = find(id);
    if (a == null) {
      return;
    }
    returnPermit(at, a, cause);
    core.openCalls.attemptEnded(at, a);
    CallState c = a.call();
    if (a.startsRun()) {
      c.runCount--;
    }
    core.attempts.reportFailed(a, cause.name(), false);
    boolean continues =
        switch (cause) {
          case NOT_SENT -> notSent(at, a, cause);
          case CONNECT_REFUSED, CONNECT_TIMED_OUT -> notConnected(at, a, cause);
          case WRONG_UPSTREAM -> replaced(at, a);
          case NOT_CONFIRMED -> notConfirmed(a);
          case DECLINED -> {
            core.paths.heard(at, a);
            yield declined(at, a);
          }
        };
    if (continues) {
      return;
    }
    if (!a.continuesRun()) {
      retryElsewhere(at, a);
    } else if (mayRunAgain(at, c)) {
      core.dispatch.run(at, c);
    } else {
      core.openCalls.fail(at, c, ErrorKind.UPSTREAM_FAILED, "the copy of its run was " + cause);
    }
  }

  private static void returnPermit(long at, AttemptState a, RefusalCause cause) {
    boolean hasArrived =
        switch (cause) {
          case DECLINED, WRONG_UPSTREAM -> true;
          case NOT_SENT, CONNECT_REFUSED, CONNECT_TIMED_OUT, NOT_CONFIRMED -> false;
        };
    if (hasArrived) {
      a.received(at);
    } else {
      a.retryPermit().ifPresent(RetryPermit::release);
    }
  }

  /** Undoes the counts of an attempt that reached no upstream; the call is sent to another one. */
  private boolean notSent(long at, AttemptState a, RefusalCause cause) {
    a.call().arrivalCount--;
    recordHardFailure(at, a, cause.name(), true);
    return false;
  }

  /**
   * Handles an attempt for which no connection could be opened; returns whether the call continues
   * by another path.
   */
  private boolean notConnected(long at, AttemptState a, RefusalCause cause) {
    CallState c = a.call();
    // A run that is continued may only go on from its copy, not begin again by another path.
    if (!core.paths.connectFailed(at, a, cause.name()) || a.continuesRun()) {
      return notSent(at, a, cause);
    }
    a.call().arrivalCount--;
    c.attemptCount--;
    if (!a.upstream().isHealthy(at) && c.excluded.add(a.upstream().incarnation())) {
      c.excludedForPath.add(a.upstream().incarnation());
    }
    core.dispatch.run(at, c);
    return true;
  }

  /** Ejects an upstream that is not the listed one; the call is sent to another one. */
  private boolean replaced(long at, AttemptState a) {
    a.upstream().replaced(at);
    core.crashGuard.incarnationEnded(at, a.upstream().incarnation(), "address_taken");
    return false;
  }

  /** Undoes the counts of an attempt whose upstream did not tell its incarnation. */
  private boolean notConfirmed(AttemptState a) {
    a.call().arrivalCount--;
    a.call().attemptCount--;
    return false;
  }

  /** Handles a declined attempt; returns whether the call continues at the same upstream. */
  private boolean declined(long at, AttemptState a) {
    if (a.purpose() instanceof Purpose.TakeOver t && prefillLocally(at, a, t)) {
      return true;
    }
    long until = a.upstream().declined(at);
    core.timers.add(new Timers.Timer.PlacementRetry(until));
    return false;
  }

  /**
   * Sends a call whose prefilled prompt was declined to the same upstream again, which then
   * prefills it locally; returns false if the call is to continue elsewhere.
   */
  private boolean prefillLocally(long at, AttemptState a, Purpose.TakeOver prompt) {
    CallState c = a.call();
    if (core.prefillResults.continuesElsewhere(c, prompt, () -> hasOtherUpstream(at, a))) {
      return false;
    }
    if (!a.upstream().acceptsWork(at)) {
      return false;
    }
    core.dispatch.send(
        at, c, new Choice(a.upstream(), 0, "", 0, 1), core.dispatch.purpose(at, c), 0);
    return true;
  }

  private boolean hasOtherUpstream(long at, AttemptState a) {
    CallState c = a.call();
    return core.upstreams
        .chooser()
        .choose(
            at,
            c.service,
            Stage::runsCalls,
            s -> s != a.upstream() && c.accepts(s),
            core.settings.dataCentre(),
            core.reservations.demand(c, at))
        .isPresent();
  }

  /** Handles an attempt that may have run and whose answer is lost. */
  public void lost(long at, AttemptId id, FailureCause cause) {
    AttemptState a = find(id);
    if (a == null || core.evacuation.withholdsEnd(at, id, Optional.empty())) {
      return;
    }
    if (cause == FailureCause.CONNECTION_LOST) {
      a.received(at);
    }
    core.openCalls.attemptEnded(at, a);
    CallState c = a.call();
    core.prefillResults.free(c);
    core.attempts.reportFailed(a, cause.name(), true);
    if (cause == FailureCause.CONNECTION_LOST) {
      core.attempts.reportBroken(at, a);
      core.crashGuard.connectionLost(at, a);
    }
    if (a.path() == UpstreamPath.TUNNEL) {
      core.paths.tunnelFailed(at, a.upstream());
    } else {
      recordHardFailure(at, a, cause.name(), cause == FailureCause.TIMED_OUT);
    }
    retryOrFail(at, a, cause.name());
  }

  /**
   * Sends a call whose attempt was lost to another upstream if it may run again; else fails the
   * call.
   */
  void retryOrFail(long at, AttemptState a, String cause) {
    if (!a.mayRun() || mayRunAgain(at, a.call())) {
      retryElsewhere(at, a);
    } else {
      core.openCalls.fail(at, a.call(), ErrorKind.UPSTREAM_FAILED, cause);
    }
  }

  private void recordHardFailure(long at, AttemptState a, String cause, boolean ejectNow) {
    if (a.path() != a.upstream().path() || !a.upstream().isPathKnown()) {
      // The failure is one of a path that is no longer used, and not one of the upstream.
      return;
    }
    long ejectedNanos = a.upstream().failedHard(at, ejectNow);
    if (ejectedNanos > 0) {
      core.report(new RelayFact.Ejected(a.upstream().upstream().name(), cause, ejectedNanos));
    }
  }

  /**
   * Handles the timeout of an attempt: cancels the attempt as lost, unless its stream has begun or
   * the call may not run again.
   */
  void timedOut(long at, AttemptId id) {
    AttemptState a = find(id);
    if (a == null || a.call().streamBegan) {
      return;
    }
    if (a.mayRun() && !mayRunAgain(at, a.call())) {
      return;
    }
    core.emit(new RelayEffect.Cancel(id));
    lost(at, id, FailureCause.TIMED_OUT);
  }

  /** Returns the attempt if it is still in flight; else null. */
  private AttemptState find(AttemptId id) {
    return core.attempts.find(id).orElse(null);
  }
}
