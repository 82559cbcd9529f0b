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
 * Ends requests with their last effect.
 *
 * <p>Invariants: each request gets exactly one last effect; after it no state of the request is
 * kept, and whatever upstreams may still hold for it is being cancelled. The error sent to a caller
 * says that the request did not run only if no upstream received it, or if each one that did
 * refused it. Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class Endings {
  private static final long RECORD_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final long MIN_RETRY_AFTER_MILLIS = 1_000;
  private static final long MAX_RETRY_AFTER_MILLIS = 600_000;

  private final Core core;

  Endings(Core core) {
    this.core = core;
  }

  /** Handles a complete answer, received in an attempt that no longer uses any capacity. */
  void complete(RequestState request, Attempt attempt) {
    reportAnswered(request);
    if (!request.claimed) {
      end(request, lastEffect(request, attempt));
      return;
    }
    request.stage = RequestStage.RECORDING;
    request.answeredAttempt = attempt;
    record(request, attempt, RunResult.DONE);
    core.context.timers().set(request.timer, core.context.now() + RECORD_TIMEOUT_NANOS);
  }

  /**
   * Handles the result of recording an outcome; the caller gets its answer whether or not the
   * outcome was recorded.
   *
   * @param attempt the attempt that ran
   * @param outcome the result of recording, which is ignored
   */
  public void recorded(Attempt attempt, RecordOutcome outcome) {
    RequestState request = attempt.request;
    if (request.stage == RequestStage.RECORDING && request.answeredAttempt == attempt) {
      answerCaller(request);
    }
  }

  /** Answers the caller without waiting for the record any longer. */
  void answerCaller(RequestState request) {
    core.attempts.retire(request.answeredAttempt);
    end(request, lastEffect(request, request.answeredAttempt));
  }

  /** Answers with the recorded answer of an earlier run. */
  void replay(RequestState request, Attempt claim) {
    end(request, new Effect.Replay(request.id(), claim.id));
  }

  /** Fails a request with the error kind that matches what is known of its execution. */
  void fail(
      RequestState request,
      ErrorKind ifNotRun,
      ErrorKind ifMayHaveRun,
      long retryAfterNanos,
      String detail) {
    refuse(request, actualKind(request, ifNotRun, ifMayHaveRun), retryAfterNanos, detail);
  }

  /**
   * Refuses a request with the given error kind, which must match what is known of its execution.
   */
  void refuse(RequestState request, ErrorKind kind, long retryAfterNanos, String detail) {
    if (request.claimed) {
      boolean notRun = kind.execution() == Execution.NOT_RUN;
      record(request, lastAttempt(request), notRun ? RunResult.NOT_RUN : RunResult.UNKNOWN);
    }
    core.context.report(new Fact.Refused(request.id(), kind));
    end(
        request,
        request.callerGone
            ? new Effect.Forget(request.id())
            : new Effect.Refuse(
                request.id(), kind, retryAfterMillis(kind, retryAfterNanos), detail));
  }

  /** Refuses a request that was not admitted. */
  void refuseArrival(RequestState request, ErrorKind kind, long retryAfterNanos, String detail) {
    core.context.report(new Fact.Refused(request.id(), kind));
    core.context.emit(
        new Effect.Refuse(request.id(), kind, retryAfterMillis(kind, retryAfterNanos), detail));
  }

  /**
   * Handles the departure of the caller: cancels what runs, unless its outcome must be recorded.
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

  /** Releases a claim that was granted after its request had ended. */
  void releaseClaim(AttemptTable.FormerAttempt former, AttemptId attempt) {
    former
        .runKey()
        .ifPresent(
            key ->
                core.context.emit(
                    new Effect.RecordRun(
                        attempt, former.request(), former.workspace(), key, RunResult.NOT_RUN)));
  }

  private static ErrorKind actualKind(
      RequestState request, ErrorKind ifNotRun, ErrorKind ifMayHaveRun) {
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
    long firstNanos = firstAt - request.arrivedAt;
    long betweenNanos =
        request.deliveredTokens > 1 ? (now - firstAt) / (request.deliveredTokens - 1) : 0;
    boolean withinTargets =
        firstNanos <= targets.firstToken().toNanos()
            && betweenNanos <= targets.betweenTokens().toNanos();
    core.context.report(
        new Fact.Answered(
            request.id(),
            request.route.rule().name(),
            withinTargets,
            firstNanos,
            betweenNanos,
            request.deliveredTokens));
  }

  private static long retryAfterMillis(ErrorKind kind, long retryAfterNanos) {
    return switch (kind.repeat()) {
      case NEVER, IF_IDEMPOTENT -> 0;
      case LATER ->
          Math.clamp(
              TimeUnit.NANOSECONDS.toMillis(retryAfterNanos),
              MIN_RETRY_AFTER_MILLIS,
              MAX_RETRY_AFTER_MILLIS);
    };
  }
}
