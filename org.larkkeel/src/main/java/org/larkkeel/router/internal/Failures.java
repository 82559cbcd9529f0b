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
 * Handles failed attempts: reuses a KV cache that is still held, retries the request, or fails it.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class Failures {
  private static final long MIN_RETRY_AFTER_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final long NO_CAPACITY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

  private final Core core;

  Failures(Core core) {
    this.core = core;
  }

  /**
   * Handles the failure of an attempt.
   *
   * @param attempt the attempt, which is current
   * @param cause the cause of the failure
   * @param exposure how far the request got towards the upstream
   * @param tokens the number of tokens of the answer delivered so far
   */
  public void failed(Attempt attempt, FailureCause cause, Exposure exposure, int tokens) {
    if (attempt.kind == AttemptKind.CLAIM) {
      core.claims.failed(attempt, exposure);
      return;
    }
    RequestState request = attempt.request;
    request.deliveredTokens = Math.max(request.deliveredTokens, tokens);
    request.reachedUpstream |= exposure != Exposure.NOT_SENT;
    request.mayHaveRun |= exposure == Exposure.MAY_HAVE_RUN;
    core.upstreams.ejections().recordFailure(attempt.upstream, cause);
    Remains remains = exposure == Exposure.MAY_HAVE_RUN ? Remains.MAYBE : Remains.NOTHING;
    switch (attempt.kind) {
      case PREFILL -> prefillFailed(attempt, cause, exposure, remains);
      case DECODE -> decodeFailed(attempt, cause, exposure, remains);
      case PLAIN -> plainFailed(attempt, cause, exposure, remains);
      default -> throw new IllegalStateException("a claim attempt is handled before the switch");
    }
  }

  /**
   * Retries a request from the beginning or from the token reached, if it may run more than once.
   */
  void retryUnlessAtMostOnce(RequestState request, FailureCause cause) {
    if (request.atMostOnce) {
      fail(request, cause);
      return;
    }
    retry(request, cause);
  }

  private void prefillFailed(
      Attempt attempt, FailureCause cause, Exposure exposure, Remains remains) {
    RequestState request = attempt.request;
    if (request.prefill != attempt) {
      return;
    }
    core.holdings.dropDecode(request, Remains.MAYBE);
    core.holdings.dropPrefill(request, remains);
    retryOrFail(attempt, cause, exposure);
  }

  private void plainFailed(
      Attempt attempt, FailureCause cause, Exposure exposure, Remains remains) {
    RequestState request = attempt.request;
    if (request.plain != attempt) {
      return;
    }
    core.holdings.dropPlain(request, remains);
    retryOrFail(attempt, cause, exposure);
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
    if (mayRepeatDecodeOrder(attempt, cause, exposure)) {
      attempt.decodeOrderRepeated = true;
      core.decodeFlow.orderDecode(attempt);
      return;
    }
    core.holdings.dropDecode(request, Remains.MAYBE);
    retryOrFail(attempt, cause, exposure);
  }

  /**
   * Returns whether the decode engine has the KV cache and only the order to use it was not sent.
   */
  private static boolean mayRepeatDecodeOrder(
      Attempt attempt, FailureCause cause, Exposure exposure) {
    return !attempt.decodeOrderRepeated
        && exposure == Exposure.NOT_SENT
        && cause == FailureCause.CONNECT_FAILED;
  }

  private void transferFailed(
      Attempt attempt, FailureCause cause, Exposure exposure, Remains remains) {
    RequestState request = attempt.request;
    core.holdings.dropDecode(request, remains);
    if (cause == FailureCause.REJECTED) {
      core.holdings.dropPrefill(request, Remains.MAYBE);
      retryOrFail(attempt, cause, exposure);
      return;
    }
    if (cause == FailureCause.KV_EVICTED) {
      core.decodeFlow.recordLostKv();
      core.holdings.dropPrefill(request, Remains.NOTHING);
      retryOrFail(attempt, cause, exposure);
      return;
    }
    if (request.atMostOnce && exposure == Exposure.MAY_HAVE_RUN) {
      fail(request, cause);
      return;
    }
    retryTransfer(attempt, cause, remains);
  }

  private void retryTransfer(Attempt attempt, FailureCause cause, Remains remains) {
    RequestState request = attempt.request;
    request.failedTransfers++;
    request.failedUpstream = attempt.upstream;
    core.context.report(new Fact.Retried(request.id(), attempt.id, attempt.upstream.name, cause));
    if (remains == Remains.MAYBE) {
      core.decodeFlow.awaitCancel(request, attempt);
    } else {
      core.decodeFlow.awaitDecodeSlot(request);
    }
  }

  private void retryOrFail(Attempt attempt, FailureCause cause, Exposure exposure) {
    RequestState request = attempt.request;
    request.failedUpstream = attempt.upstream;
    if (cause == FailureCause.REJECTED) {
      core.endings.fail(
          request,
          ErrorKind.MALFORMED_REQUEST,
          ErrorKind.UPSTREAM_FAILED,
          0,
          "The upstream rejected the request.");
      return;
    }
    if (!mayRetry(request, exposure)) {
      fail(request, cause);
      return;
    }
    if (retry(request, cause)) {
      core.context.report(new Fact.Retried(request.id(), attempt.id, attempt.upstream.name, cause));
    }
  }

  private static boolean mayRetry(RequestState request, Exposure exposure) {
    if (!request.atMostOnce) {
      return true;
    }
    if (request.claimed) {
      return !request.mayHaveRun;
    }
    return exposure == Exposure.NOT_SENT && !request.reachedUpstream;
  }

  private boolean retry(RequestState request, FailureCause cause) {
    if (isLackOfCapacity(cause)
        && !(core.context.settings().queue() instanceof QueuePolicy.Immediate)) {
      request.attemptCount--;
      core.queueing.enqueueAfter(request, NO_CAPACITY_DELAY_NANOS);
      return true;
    }
    if (request.attemptCount >= request.route.rule().maxAttempts()
        || !core.retryBudget.tryWithdraw()) {
      fail(request, cause);
      return false;
    }
    long delayNanos = core.retryBudget.delayNanos(request.attemptCount, core.context.random());
    if (core.context.now() + delayNanos >= request.deadline) {
      fail(request, cause);
      return false;
    }
    core.queueing.enqueueAfter(request, delayNanos);
    return true;
  }

  /**
   * Returns whether the upstream refused for lack of capacity. Such a refusal results from outdated
   * load estimates of this node and does not count as a failed attempt.
   */
  private static boolean isLackOfCapacity(FailureCause cause) {
    return cause == FailureCause.NO_SLOT || cause == FailureCause.BUSY;
  }

  private void fail(RequestState request, FailureCause cause) {
    ErrorKind ifNotRun = isLackOfCapacity(cause) ? ErrorKind.OVERLOADED : ErrorKind.NO_UPSTREAM;
    String detail =
        cause == null ? "No decode slot came free in time." : "Last failure: " + cause + ".";
    long retryAfterNanos =
        Math.max(
            MIN_RETRY_AFTER_NANOS,
            request.route.departures.predictedWaitNanos(request.route.queued()));
    core.endings.fail(request, ifNotRun, ErrorKind.UPSTREAM_FAILED, retryAfterNanos, detail);
  }
}
