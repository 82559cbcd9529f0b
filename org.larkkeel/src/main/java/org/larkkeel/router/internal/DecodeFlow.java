/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

import java.util.concurrent.TimeUnit;
import org.larkkeel.effect.Effect;
import org.larkkeel.effect.Fact;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.router.internal.Holdings.Remains;

/**
 * Handles completions from the end of the prefill to the last token.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class DecodeFlow {
  private static final long MIN_TRANSFER_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
  private static final int TRANSFER_TIMEOUT_FACTOR = 8;
  private static final long MIN_INACTIVITY_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final int INACTIVITY_TIMEOUT_FACTOR = 20;

  private final Core core;

  DecodeFlow(Core core) {
    this.core = core;
  }

  /**
   * Handles the completion of a prefill.
   *
   * @param attempt the prefill
   * @param kvBytes the size of the KV cache
   * @param cachedTokens the number of prompt tokens found in the prefix cache
   */
  public void prefillDone(Attempt attempt, long kvBytes, int cachedTokens) {
    RequestState request = attempt.request;
    if (request.prefill != attempt || request.stage != RequestStage.PREFILLING) {
      return;
    }
    long now = core.context.now();
    recordPrefill(attempt, cachedTokens, now);
    core.predictor.recordKvSize(request, kvBytes);
    request.mayHaveRun = true;
    request.reachedUpstream = true;
    request.kvBytes = kvBytes;
    request.kvHeldSince = now;
    request.failedTransfers = 0;
    if (!tryTransfer(request)) {
      awaitDecodeSlot(request);
    }
  }

  /**
   * Starts the transfer of a held KV cache if a decode engine has a free slot; returns whether it
   * started.
   */
  boolean tryTransfer(RequestState request) {
    UpstreamState decode = core.placement.chooseDecode(request);
    if (decode == null) {
      return false;
    }
    request.route.held.remove(request.id());
    core.holdings.releaseReservation(request);
    startTransfer(request, decode);
    return true;
  }

  /** Lets a request with a held KV cache wait for a decode slot. */
  void awaitDecodeSlot(RequestState request) {
    request.stage = RequestStage.KV_HELD;
    request.route.held.put(request.id(), request);
    core.queueing.setTimer(request);
    core.upstreams.markReady(request.route);
  }

  /**
   * Lets a request with a held KV cache wait until the cancel of a failed transfer has ended,
   * because the source transfers the KV cache to one engine at a time.
   */
  void awaitCancel(RequestState request, Attempt decode) {
    request.stage = RequestStage.KV_HELD;
    request.cancelledTransfer = decode.id;
    core.queueing.setTimer(request);
  }

  /**
   * Handles the end of a try to cancel: a request that waited for it may transfer its KV cache
   * again.
   *
   * @param attempt the attempt that was cancelled
   */
  public void cancelSettled(AttemptId attempt) {
    AttemptTable.FormerAttempt former = core.attempts.former(attempt);
    RequestState request = former == null ? null : core.requests.get(former.request());
    if (request != null && attempt.equals(request.cancelledTransfer)) {
      request.cancelledTransfer = null;
      if (request.stage == RequestStage.KV_HELD) {
        awaitDecodeSlot(request);
      }
    }
  }

  /** Handles the end of the hold time of a KV cache that waits for a decode slot. */
  void holdTimeEnded(RequestState request) {
    recordLostKv();
    core.holdings.dropPrefill(request, Remains.MAYBE);
    core.failures.retryUnlessAtMostOnce(request, null);
  }

  /**
   * Records the loss of a KV cache that waited for a slot. A loss soon after an ejection is not
   * counted, as it does not show that the predictions of releases were wrong.
   */
  void recordLostKv() {
    if (!core.upstreams.ejections().hasRecentEjection()) {
      core.placement.releaseMargin().recordLost();
    }
  }

  /**
   * Handles the arrival of a KV cache at the decode engine.
   *
   * @param attempt the decode
   */
  public void transferDone(Attempt attempt) {
    RequestState request = attempt.request;
    if (request.decode != attempt || request.stage != RequestStage.TRANSFERRING) {
      return;
    }
    core.placement.releaseMargin().recordUsed();
    core.holdings.endTransfer(attempt);
    core.holdings.prefillTransferred(request);
    request.stage = RequestStage.DECODING;
    core.queueing.setTimer(request);
    orderDecode(attempt);
  }

  /** Emits the order to generate tokens. */
  void orderDecode(Attempt attempt) {
    RequestState request = attempt.request;
    attempt.decodeOrderedAt = core.context.now();
    long betweenNanos = request.route.rule().targets().betweenTokens().toNanos();
    core.context.emit(
        new Effect.StartDecode(
            attempt.id,
            request.id(),
            attempt.upstream.name,
            core.dispatcher.priority(request),
            attempt.resumeFrom,
            Math.max(MIN_INACTIVITY_TIMEOUT_NANOS, INACTIVITY_TIMEOUT_FACTOR * betweenNanos)));
  }

  /**
   * Handles the delivery of the first token of an attempt.
   *
   * @param attempt the decode
   */
  public void firstToken(Attempt attempt) {
    RequestState request = attempt.request;
    if (request.decode != attempt) {
      return;
    }
    attempt.firstTokenAt = core.context.now();
    request.deliveredTokens = Math.max(request.deliveredTokens, attempt.resumeFrom + 1);
    if (request.firstTokenAt == 0) {
      request.firstTokenAt = attempt.firstTokenAt;
    }
    core.upstreams.ejections().recordSuccess(attempt.upstream);
    reportUsed(request);
  }

  /**
   * Handles the delivery of the last token.
   *
   * @param attempt the decode
   * @param tokens the length of the complete answer, including tokens of earlier attempts
   */
  public void decodeDone(Attempt attempt, int tokens) {
    RequestState request = attempt.request;
    if (request.decode != attempt) {
      return;
    }
    if (attempt.firstTokenAt == 0) {
      firstToken(attempt);
    }
    recordDecode(attempt, tokens);
    request.deliveredTokens = tokens;
    request.route.outputLengths.add(tokens);
    request.decode = null;
    core.upstreams.detach(attempt);
    if (!request.claimed) {
      core.attempts.finish(attempt);
    }
    core.endings.complete(request, attempt);
  }

  private void startTransfer(RequestState request, UpstreamState decode) {
    long now = core.context.now();
    UpstreamState source = request.prefill.upstream;
    final long end = core.predictor.transferEnd(request.kvBytes, source, decode, now);
    Attempt attempt = core.attempts.create(request, decode, AttemptKind.DECODE, now);
    attempt.resumeFrom = request.deliveredTokens;
    request.decode = attempt;
    request.stage = RequestStage.TRANSFERRING;
    core.upstreams.attach(attempt);
    attempt.batchAtStart = decode.slots.active() + decode.slots.heldByOthers();
    core.holdings.startTransfer(attempt, source, request.kvBytes);
    core.queueing.setTimer(request);
    long timeoutNanos = Math.max(MIN_TRANSFER_TIMEOUT_NANOS, TRANSFER_TIMEOUT_FACTOR * (end - now));
    core.context.report(new Fact.Placed(request.id(), attempt.id, decode.name));
    core.context.emit(
        new Effect.StartTransfer(
            attempt.id, request.id(), request.prefill.id, source.name, decode.name, timeoutNanos));
  }

  private void recordPrefill(Attempt attempt, int cachedTokens, long now) {
    UpstreamState engine = attempt.upstream;
    RequestState request = attempt.request;
    long startedAt = core.upstreams.prefillEnded(attempt);
    int computed = Math.max(1, request.contextTokens() - cachedTokens);
    if (now > startedAt) {
      engine.speeds.recordPrefill(computed, now - startedAt);
    }
    engine.cache.recordPrefill(request.prefixes(), attempt.knownCachedTokens, cachedTokens);
    attempt.prefillTokens = computed;
    core.upstreams.ejections().recordSuccess(engine);
  }

  private void recordDecode(Attempt attempt, int tokens) {
    long now = core.context.now();
    UpstreamState engine = attempt.upstream;
    int furtherTokens = tokens - attempt.resumeFrom - 1;
    if (furtherTokens > 0 && now > attempt.firstTokenAt) {
      int batch = engine.slots.active() + engine.slots.heldByOthers();
      double mean = (attempt.batchAtStart + batch) / 2.0;
      engine.speeds.recordDecode(mean, (double) (now - attempt.firstTokenAt) / furtherTokens);
    }
    engine.speeds.recordSlotHold(now - attempt.startedAt);
  }

  private void reportUsed(RequestState request) {
    Attempt prefill = request.transferredPrefill;
    if (prefill != null) {
      request.transferredPrefill = null;
      core.context.report(
          new Fact.PrefillUsed(
              request.id(), prefill.id, prefill.upstream.name, prefill.prefillTokens));
    }
  }
}
