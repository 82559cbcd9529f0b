/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

import java.util.concurrent.TimeUnit;
import org.larkkeel.call.RunKey;
import org.larkkeel.config.Targets;
import org.larkkeel.effect.Effect;
import org.larkkeel.effect.Fact;
import org.larkkeel.effect.RunResult;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.errors.Execution;
import org.larkkeel.event.RecordOutcome;
import org.larkkeel.lib.AttemptId;

/**
 * Ends requests.
 *
 * <p>Invariant: exactly one last effect a request; after it nothing of the request is kept, and
 * what upstreams may still hold is being cancelled. A caller is told that its request did not run
 * only if no upstream got it, or each that did refused it. Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class Endings {
  private static final long RECORD_WAIT_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final long MIN_RETRY_MILLIS = 1_000;
  private static final long MAX_RETRY_MILLIS = 600_000;

  private final Core core;

  Endings(Core core) {
    this.core = core;
  }

  /** The whole answer has been received in an attempt that holds nothing any more. */
  void complete(RequestState request, Attempt attempt) {
    reportAnswered(request);
    if (!request.claimed) {
      end(request, lastEffect(request, attempt));
      return;
    }
    request.stage = RequestStage.RECORDING;
    request.answered = attempt;
    record(request, attempt, RunResult.DONE);
    core.context.timers().set(request.timer, core.context.now() + RECORD_WAIT_NANOS);
  }

  /**
   * Writing down the outcome ended; the caller gets its answer whatever came of it.
   *
   * @param attempt the attempt that ran
   * @param outcome the result
   */
  public void recorded(Attempt attempt, RecordOutcome outcome) {
    RequestState request = attempt.request;
    if (request.stage == RequestStage.RECORDING && request.answered == attempt) {
      answer(request);
    }
  }

  /** Answers without waiting longer for the record. */
  void answer(RequestState request) {
    core.attempts.retire(request.answered);
    end(request, lastEffect(request, request.answered));
  }

  /** Answers with the record of an earlier run. */
  void replay(RequestState request, Attempt claim) {
    end(request, new Effect.Replay(request.id(), claim.id));
  }

  /** Gives a request up with the kind that is true of it. */
  void giveUp(
      RequestState request, ErrorKind ifNotRun, ErrorKind ifMayHaveRun, long wait, String detail) {
    refuse(request, truth(request, ifNotRun, ifMayHaveRun), wait, detail);
  }

  /** Refuses a request that an earlier step has shown to be refused with just this kind. */
  void refuse(RequestState request, ErrorKind kind, long wait, String detail) {
    if (request.claimed) {
      boolean notRun = kind.execution() == Execution.NOT_RUN;
      record(request, lastAttempt(request), notRun ? RunResult.NOT_RUN : RunResult.UNKNOWN);
    }
    core.context.report(new Fact.Refused(request.id(), kind));
    end(
        request,
        request.callerGone
            ? new Effect.Forget(request.id())
            : new Effect.Refuse(request.id(), kind, retryMillis(kind, wait), detail));
  }

  /** Refuses a call that was never taken in. */
  void refuseArrival(RequestState request, ErrorKind kind, long wait, String detail) {
    core.context.report(new Fact.Refused(request.id(), kind));
    core.context.emit(new Effect.Refuse(request.id(), kind, retryMillis(kind, wait), detail));
  }

  /**
   * The caller is gone: what is running is stopped, unless its outcome has to be recorded.
   *
   * @param request the request
   */
  public void callerGone(RequestState request) {
    request.callerGone = true;
    if (request.stage == RequestStage.RECORDING || (request.claimed && request.plain != null)) {
      return;
    }
    if (request.claimed) {
      boolean ran = request.mayHaveRun || request.isAtUpstream();
      record(request, lastAttempt(request), ran ? RunResult.UNKNOWN : RunResult.NOT_RUN);
    }
    end(request, new Effect.Forget(request.id()));
  }

  /** Tells a store that a claim which came too late is not needed. */
  void giveClaimBack(AttemptTable.Former former, AttemptId attempt) {
    former
        .runKey()
        .ifPresent(
            key ->
                core.context.emit(
                    new Effect.RecordRun(
                        attempt, former.request(), former.workspace(), key, RunResult.NOT_RUN)));
  }

  private static ErrorKind truth(RequestState request, ErrorKind ifNotRun, ErrorKind ifMayHaveRun) {
    boolean ran = request.mayHaveRun || request.isAtUpstream();
    if (ran && request.claimed) {
      return ErrorKind.UNKNOWN_OUTCOME;
    }
    boolean unsettled = request.claim != null && !request.claimed;
    return ran || unsettled ? ifMayHaveRun : ifNotRun;
  }

  private static Effect lastEffect(RequestState request, Attempt attempt) {
    return request.callerGone
        ? new Effect.Forget(request.id())
        : new Effect.Complete(request.id(), attempt.id);
  }

  private static Attempt lastAttempt(RequestState request) {
    if (request.plain != null) {
      return request.plain;
    }
    if (request.decode != null) {
      return request.decode;
    }
    return request.prefill != null ? request.prefill : request.claim;
  }

  private void record(RequestState request, Attempt attempt, RunResult result) {
    RunKey key = request.call.runKey().orElseThrow();
    core.context.emit(
        new Effect.RecordRun(attempt.id, request.id(), request.call.workspace(), key, result));
  }

  private void end(RequestState request, Effect last) {
    if (request.lane != null) {
      request.lane.remove(request);
    }
    core.holdings.dropAll(request);
    core.context.timers().clear(request.timer);
    core.limiter.release(request.call);
    core.requests.remove(request.id());
    request.stage = RequestStage.ENDED;
    core.context.emit(last);
  }

  private void reportAnswered(RequestState request) {
    long now = core.context.now();
    Targets targets = request.route.rule().targets();
    long firstAt = request.isPlain() ? now : request.firstTokenAt;
    long first = firstAt - request.arrivedAt;
    long between = request.tokens > 1 ? (now - firstAt) / (request.tokens - 1) : 0;
    boolean within =
        first <= targets.firstToken().toNanos() && between <= targets.betweenTokens().toNanos();
    core.context.report(
        new Fact.Answered(
            request.id(), request.route.rule().name(), within, first, between, request.tokens));
  }

  private static long retryMillis(ErrorKind kind, long waitNanos) {
    return switch (kind.repeat()) {
      case NEVER, IF_IDEMPOTENT -> 0;
      case LATER ->
          Math.clamp(TimeUnit.NANOSECONDS.toMillis(waitNanos), MIN_RETRY_MILLIS, MAX_RETRY_MILLIS);
    };
  }
}
