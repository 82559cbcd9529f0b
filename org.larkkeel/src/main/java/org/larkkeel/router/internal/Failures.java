/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

import java.util.concurrent.TimeUnit;
import org.larkkeel.effect.Fact;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.event.Exposure;
import org.larkkeel.event.FailureCause;
import org.larkkeel.router.QueuePolicy;
import org.larkkeel.router.internal.Holdings.Remains;

/**
 * Decides what follows the failure of an attempt: use of what is still held, another attempt, or
 * the end.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class Failures {
  private static final long RETRY_AFTER_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final long CROWDED_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

  private final Core core;

  Failures(Core core) {
    this.core = core;
  }

  /**
   * An attempt failed.
   *
   * @param attempt the attempt, which is current
   * @param cause why
   * @param exposure how far the request got
   * @param tokens tokens of the answer passed on so far
   */
  public void failed(Attempt attempt, FailureCause cause, Exposure exposure, int tokens) {
    if (attempt.kind == AttemptKind.CLAIM) {
      core.claims.failed(attempt, exposure);
      return;
    }
    RequestState request = attempt.request;
    request.tokens = Math.max(request.tokens, tokens);
    request.reached |= exposure != Exposure.NOT_SENT;
    request.mayHaveRun |= exposure == Exposure.MAY_HAVE_RUN;
    core.fleet.ejections().failed(attempt.upstream, cause);
    Remains remains = exposure == Exposure.MAY_HAVE_RUN ? Remains.MAYBE : Remains.NOTHING;
    switch (attempt.kind) {
      case PREFILL -> prefillFailed(attempt, cause, exposure, remains);
      case DECODE -> decodeFailed(attempt, cause, exposure, remains);
      case PLAIN -> plainFailed(attempt, cause, exposure, remains);
      default -> throw new IllegalStateException("a claim is handled above");
    }
  }

  /** Makes another attempt from the start, or from the token reached, if that is allowed. */
  void startAgain(RequestState request, FailureCause cause) {
    if (request.once) {
      giveUp(request, cause);
      return;
    }
    again(request, cause);
  }

  private void prefillFailed(
      Attempt attempt, FailureCause cause, Exposure exposure, Remains remains) {
    RequestState request = attempt.request;
    if (request.prefill != attempt) {
      return;
    }
    core.holdings.dropDecode(request, Remains.MAYBE);
    core.holdings.dropPrefill(request, remains);
    another(attempt, cause, exposure);
  }

  private void plainFailed(
      Attempt attempt, FailureCause cause, Exposure exposure, Remains remains) {
    RequestState request = attempt.request;
    if (request.plain != attempt) {
      return;
    }
    core.holdings.dropPlain(request, remains);
    another(attempt, cause, exposure);
  }

  private void decodeFailed(
      Attempt attempt, FailureCause cause, Exposure exposure, Remains remains) {
    RequestState request = attempt.request;
    if (request.decode != attempt) {
      return;
    }
    if (request.stage == RequestStage.TRANSFERRING) {
      transferFailed(attempt, cause, exposure, remains);
      return;
    }
    if (mayReorder(attempt, cause, exposure)) {
      attempt.reordered = true;
      core.decodeFlow.orderDecode(attempt);
      return;
    }
    core.holdings.dropDecode(request, Remains.MAYBE);
    another(attempt, cause, exposure);
  }

  /** The KV cache is at the decode engine already, and the order to use it did not get there. */
  private static boolean mayReorder(Attempt attempt, FailureCause cause, Exposure exposure) {
    return !attempt.reordered
        && exposure == Exposure.NOT_SENT
        && cause == FailureCause.CONNECT_FAILED;
  }

  private void transferFailed(
      Attempt attempt, FailureCause cause, Exposure exposure, Remains remains) {
    RequestState request = attempt.request;
    core.holdings.dropDecode(request, remains);
    if (cause == FailureCause.REJECTED) {
      core.holdings.dropPrefill(request, Remains.MAYBE);
      another(attempt, cause, exposure);
      return;
    }
    if (cause == FailureCause.KV_EVICTED) {
      core.decodeFlow.lostKv();
      core.holdings.dropPrefill(request, Remains.NOTHING);
      another(attempt, cause, exposure);
      return;
    }
    if (request.once && exposure == Exposure.MAY_HAVE_RUN) {
      giveUp(request, cause);
      return;
    }
    useHeld(attempt, cause, remains);
  }

  private void useHeld(Attempt attempt, FailureCause cause, Remains remains) {
    RequestState request = attempt.request;
    request.transfers++;
    request.avoid = attempt.upstream;
    core.context.report(new Fact.Retried(request.id(), attempt.id, attempt.upstream.name, cause));
    if (remains == Remains.MAYBE) {
      core.decodeFlow.holdUntilCancelled(request, attempt);
    } else {
      core.decodeFlow.hold(request);
    }
  }

  private void another(Attempt attempt, FailureCause cause, Exposure exposure) {
    RequestState request = attempt.request;
    request.avoid = attempt.upstream;
    if (cause == FailureCause.REJECTED) {
      core.endings.giveUp(
          request,
          ErrorKind.MALFORMED_REQUEST,
          ErrorKind.UPSTREAM_FAILED,
          0,
          "The upstream rejected the request.");
      return;
    }
    if (!mayRepeat(request, exposure)) {
      giveUp(request, cause);
      return;
    }
    if (again(request, cause)) {
      core.context.report(new Fact.Retried(request.id(), attempt.id, attempt.upstream.name, cause));
    }
  }

  private static boolean mayRepeat(RequestState request, Exposure exposure) {
    if (!request.once) {
      return true;
    }
    if (request.claimed) {
      return !request.mayHaveRun;
    }
    return exposure == Exposure.NOT_SENT && !request.reached;
  }

  private boolean again(RequestState request, FailureCause cause) {
    if (isCrowded(cause) && !(core.context.settings().queue() instanceof QueuePolicy.Immediate)) {
      request.attempts--;
      core.queueing.enqueueAfter(request, CROWDED_DELAY_NANOS);
      return true;
    }
    if (request.attempts >= request.route.rule().maxAttempts() || !core.budget.spend()) {
      giveUp(request, cause);
      return false;
    }
    long delay = core.budget.delay(request.attempts, core.context.random());
    if (core.context.now() + delay >= request.deadline) {
      giveUp(request, cause);
      return false;
    }
    core.queueing.enqueueAfter(request, delay);
    return true;
  }

  /** The upstream was only full; that is this node's wrong guess and no failed attempt. */
  private static boolean isCrowded(FailureCause cause) {
    return cause == FailureCause.NO_SLOT || cause == FailureCause.BUSY;
  }

  private void giveUp(RequestState request, FailureCause cause) {
    ErrorKind ifNotRun = isCrowded(cause) ? ErrorKind.OVERLOADED : ErrorKind.NO_UPSTREAM;
    String detail =
        cause == null ? "No decode slot came free in time." : "Last failure: " + cause + ".";
    long wait = Math.max(RETRY_AFTER_NANOS, request.route.pace.wait(request.route.queued()));
    core.endings.giveUp(request, ifNotRun, ErrorKind.UPSTREAM_FAILED, wait, detail);
  }
}
