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
 * Follows completions from the end of the prefill to the last token.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class DecodeFlow {
  private static final long MIN_TRANSFER_TIMEOUT = TimeUnit.MILLISECONDS.toNanos(500);
  private static final int TRANSFER_FACTOR = 8;
  private static final long MIN_SILENCE = TimeUnit.SECONDS.toNanos(2);
  private static final int SILENCE_FACTOR = 20;

  private final Core core;

  DecodeFlow(Core core) {
    this.core = core;
  }

  /**
   * A prefill is complete.
   *
   * @param attempt the prefill
   * @param kvBytes size of the KV cache
   * @param cachedTokens prompt tokens that were in the prefix cache
   */
  public void prefillDone(Attempt attempt, long kvBytes, int cachedTokens) {
    RequestState request = attempt.request;
    if (request.prefill != attempt || request.stage != RequestStage.PREFILLING) {
      return;
    }
    long now = core.context.now();
    learnPrefill(attempt, cachedTokens, now);
    core.predictor.learnKv(request, kvBytes);
    request.mayHaveRun = true;
    request.reached = true;
    request.kvBytes = kvBytes;
    request.heldSince = now;
    request.transfers = 0;
    if (!tryTransfer(request)) {
      hold(request);
    }
  }

  /** Starts the transfer of a KV cache that is held, if a decode engine has a slot. */
  boolean tryTransfer(RequestState request) {
    UpstreamState decode = core.placement.chooseDecode(request);
    if (decode == null) {
      return false;
    }
    request.route.held.remove(request.id());
    core.holdings.unpromise(request);
    startTransfer(request, decode);
    return true;
  }

  /** Keeps a request waiting for a decode slot while its KV cache is held. */
  void hold(RequestState request) {
    request.stage = RequestStage.PLACED;
    request.route.held.put(request.id(), request);
    core.queueing.arm(request);
    core.fleet.ready(request.route);
  }

  /**
   * Keeps a request waiting until a broken transfer is cancelled: its source hands the KV cache
   * over to one engine at a time.
   */
  void holdUntilCancelled(RequestState request, Attempt decode) {
    request.stage = RequestStage.PLACED;
    request.settling = decode.id;
    core.queueing.arm(request);
  }

  /**
   * A cancel ended, so a request that waited for it may move its KV cache again.
   *
   * @param attempt the attempt that was cancelled
   */
  public void cancelSettled(AttemptId attempt) {
    AttemptTable.Former former = core.attempts.former(attempt);
    RequestState request = former == null ? null : core.requests.get(former.request());
    if (request != null && attempt.equals(request.settling)) {
      request.settling = null;
      if (request.stage == RequestStage.PLACED) {
        hold(request);
      }
    }
  }

  /** The KV cache of a request that waits for a decode slot can't be counted on any longer. */
  void holdEnded(RequestState request) {
    lostKv();
    core.holdings.dropPrefill(request, Remains.MAYBE);
    core.failures.startAgain(request, null);
  }

  /** A KV cache was lost while it waited for a slot; tells nothing about guesses after a fault. */
  void lostKv() {
    if (!core.fleet.ejections().isDisturbed()) {
      core.placement.caution().lost();
    }
  }

  /**
   * A KV cache has arrived.
   *
   * @param attempt the decode
   */
  public void transferDone(Attempt attempt) {
    RequestState request = attempt.request;
    if (request.decode != attempt || request.stage != RequestStage.TRANSFERRING) {
      return;
    }
    core.placement.caution().used();
    core.holdings.endMove(attempt);
    core.holdings.prefillMoved(request);
    request.stage = RequestStage.DECODING;
    core.queueing.arm(request);
    orderDecode(attempt);
  }

  /** Orders the generation of tokens. */
  void orderDecode(Attempt attempt) {
    RequestState request = attempt.request;
    attempt.decodingAt = core.context.now();
    long between = request.route.rule().targets().betweenTokens().toNanos();
    core.context.emit(
        new Effect.StartDecode(
            attempt.id,
            request.id(),
            attempt.upstream.name,
            core.dispatcher.priority(request),
            attempt.resumeFrom,
            Math.max(MIN_SILENCE, SILENCE_FACTOR * between)));
  }

  /**
   * The first token of an attempt was passed on.
   *
   * @param attempt the decode
   */
  public void firstToken(Attempt attempt) {
    RequestState request = attempt.request;
    if (request.decode != attempt) {
      return;
    }
    attempt.firstTokenAt = core.context.now();
    request.tokens = Math.max(request.tokens, attempt.resumeFrom + 1);
    if (request.firstTokenAt == 0) {
      request.firstTokenAt = attempt.firstTokenAt;
    }
    core.fleet.ejections().succeeded(attempt.upstream);
    reportUsed(request);
  }

  /**
   * The last token was passed on.
   *
   * @param attempt the decode
   * @param tokens tokens of the whole answer
   */
  public void decodeDone(Attempt attempt, int tokens) {
    RequestState request = attempt.request;
    if (request.decode != attempt) {
      return;
    }
    if (attempt.firstTokenAt == 0) {
      firstToken(attempt);
    }
    learnDecode(attempt, tokens);
    request.tokens = tokens;
    request.route.lengths.add(tokens);
    request.decode = null;
    core.fleet.detach(attempt);
    if (!request.claimed) {
      core.attempts.finish(attempt);
    }
    core.endings.complete(request, attempt);
  }

  private void startTransfer(RequestState request, UpstreamState decode) {
    long now = core.context.now();
    UpstreamState from = request.prefill.upstream;
    final long end = core.predictor.transferEnd(request.kvBytes, from, decode, now);
    Attempt attempt = core.attempts.create(request, decode, AttemptKind.DECODE, now);
    attempt.resumeFrom = request.tokens;
    request.decode = attempt;
    request.stage = RequestStage.TRANSFERRING;
    core.fleet.attach(attempt);
    attempt.batch = decode.slots.active() + decode.slots.others();
    core.holdings.startMove(attempt, from, request.kvBytes);
    core.queueing.arm(request);
    long timeout = Math.max(MIN_TRANSFER_TIMEOUT, TRANSFER_FACTOR * (end - now));
    core.context.report(new Fact.Placed(request.id(), attempt.id, decode.name));
    core.context.emit(
        new Effect.StartTransfer(
            attempt.id, request.id(), request.prefill.id, from.name, decode.name, timeout));
  }

  private void learnPrefill(Attempt attempt, int cachedTokens, long now) {
    UpstreamState engine = attempt.upstream;
    RequestState request = attempt.request;
    long since = core.fleet.computed(attempt);
    int computed = Math.max(1, request.contextTokens() - cachedTokens);
    if (now > since) {
      engine.rates.prefilled(computed, now - since);
    }
    engine.cache.used(request.prefixes(), attempt.believed, cachedTokens);
    attempt.tokens = computed;
    core.fleet.ejections().succeeded(engine);
  }

  private void learnDecode(Attempt attempt, int tokens) {
    long now = core.context.now();
    UpstreamState engine = attempt.upstream;
    int after = tokens - attempt.resumeFrom - 1;
    if (after > 0 && now > attempt.firstTokenAt) {
      int batch = engine.slots.active() + engine.slots.others();
      double mean = (attempt.batch + batch) / 2.0;
      engine.rates.decoded(mean, (double) (now - attempt.firstTokenAt) / after);
    }
    engine.rates.held(now - attempt.startedAt);
  }

  private void reportUsed(RequestState request) {
    Attempt prefill = request.moved;
    if (prefill != null) {
      request.moved = null;
      core.context.report(
          new Fact.PrefillUsed(request.id(), prefill.id, prefill.upstream.name, prefill.tokens));
    }
  }
}
