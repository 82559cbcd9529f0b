/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

import org.larkkeel.effect.Fact;

/**
 * What a request holds or has been promised at upstreams, and how it is given back.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
final class Holdings {
  /** Whether an upstream may still hold something of an attempt. */
  enum Remains {
    /** It may; it is told to cancel. */
    MAYBE,
    /** It holds nothing. */
    NOTHING
  }

  private final Core core;

  Holdings(Core core) {
    this.core = core;
  }

  void promise(RequestState request, UpstreamState prefill, UpstreamState decode) {
    if (decode == null) {
      return;
    }
    request.promised = decode;
    request.promisedBytes = core.predictor.kvBytes(request);
    decode.slots.reserve();
    decode.link.reserve(request.promisedBytes);
    prefill.link.reserve(request.promisedBytes);
    core.fleet.lost(decode);
  }

  void unpromise(RequestState request) {
    UpstreamState decode = request.promised;
    if (decode == null) {
      return;
    }
    request.promised = null;
    decode.slots.unreserve();
    decode.link.unreserve(request.promisedBytes);
    request.prefill.upstream.link.unreserve(request.promisedBytes);
    core.fleet.gained(decode);
  }

  void startMove(Attempt decode, UpstreamState from, long bytes) {
    decode.movingFrom = from;
    long now = core.context.now();
    from.link.started(now, bytes);
    decode.upstream.link.started(now, bytes);
  }

  void endMove(Attempt decode) {
    if (decode.movingFrom == null) {
      return;
    }
    long now = core.context.now();
    decode.movingFrom.link.ended(now);
    decode.upstream.link.ended(now);
    decode.movingFrom = null;
  }

  /** Ends the prefill whose KV cache has moved; nothing is held by its engine. */
  void prefillMoved(RequestState request) {
    Attempt prefill = request.prefill;
    request.prefill = null;
    request.moved = prefill;
    core.fleet.detach(prefill);
    core.attempts.retire(prefill);
  }

  /** Ends a prefill that is of no use. */
  void dropPrefill(RequestState request, Remains remains) {
    Attempt prefill = request.prefill;
    if (prefill == null) {
      return;
    }
    unpromise(request);
    request.route.held.remove(request.id());
    final int wasted = prefill.computing ? doneSoFar(prefill) : prefill.tokens;
    request.prefill = null;
    request.kvBytes = 0;
    request.settling = null;
    end(prefill, remains);
    reportWaste(prefill, wasted);
  }

  /** Ends a decode, in whatever step it is. */
  void dropDecode(RequestState request, Remains remains) {
    Attempt decode = request.decode;
    if (decode == null) {
      return;
    }
    endMove(decode);
    request.decode = null;
    end(decode, remains);
    if (request.moved != null) {
      reportWaste(request.moved, request.moved.tokens);
      request.moved = null;
    }
  }

  /** Ends a plain call. */
  void dropPlain(RequestState request, Remains remains) {
    Attempt plain = request.plain;
    if (plain == null) {
      return;
    }
    request.plain = null;
    end(plain, remains);
  }

  /** Ends everything that a request has anywhere. */
  void dropAll(RequestState request) {
    dropDecode(request, Remains.MAYBE);
    dropPrefill(request, Remains.MAYBE);
    dropPlain(request, Remains.MAYBE);
    dropClaim(request);
  }

  /** A claim that is still asked for is remembered, so that it can be given back when it comes. */
  private void dropClaim(RequestState request) {
    if (request.claim == null) {
      return;
    }
    if (request.claimed) {
      core.attempts.finish(request.claim);
    } else {
      core.attempts.retire(request.claim);
    }
    request.claim = null;
  }

  private void end(Attempt attempt, Remains remains) {
    core.fleet.detach(attempt);
    core.attempts.retire(attempt);
    if (remains == Remains.MAYBE) {
      core.cancels.cancel(attempt.id, attempt.request.id(), attempt.upstream);
    }
  }

  private int doneSoFar(Attempt prefill) {
    double predicted = Math.max(1, prefill.upstream.rates.prefillNanos(prefill.tokens));
    double share = (core.context.now() - prefill.startedAt) / predicted;
    return (int) (prefill.tokens * Math.min(1, share));
  }

  private void reportWaste(Attempt prefill, int tokens) {
    if (tokens > 0) {
      core.context.report(
          new Fact.PrefillWasted(prefill.request.id(), prefill.id, prefill.upstream.name, tokens));
    }
  }
}
