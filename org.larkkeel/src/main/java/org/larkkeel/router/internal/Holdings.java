/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

import org.larkkeel.effect.Fact;

/**
 * The resources that requests hold or have reserved at upstreams: slots, link time and KV caches.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
final class Holdings {
  /** States whether an upstream may still hold something for an attempt. */
  enum Remains {
    /** The upstream may hold something, so a cancel is sent. */
    MAYBE,
    /** The upstream holds nothing. */
    NOTHING
  }

  private final Core core;

  Holdings(Core core) {
    this.core = core;
  }

  void reserve(RequestState request, UpstreamState prefill, UpstreamState decode) {
    if (decode == null) {
      return;
    }
    request.reservedDecode = decode;
    request.reservedLinkBytes = core.predictor.kvBytes(request);
    decode.slots.reserve();
    decode.link.reserve(request.reservedLinkBytes);
    prefill.link.reserve(request.reservedLinkBytes);
    core.upstreams.capacityTaken(decode);
  }

  void releaseReservation(RequestState request) {
    UpstreamState decode = request.reservedDecode;
    if (decode == null) {
      return;
    }
    request.reservedDecode = null;
    decode.slots.unreserve();
    decode.link.unreserve(request.reservedLinkBytes);
    request.prefill.upstream.link.unreserve(request.reservedLinkBytes);
    core.upstreams.capacityFreed(decode);
  }

  void startTransfer(Attempt decode, UpstreamState source, long bytes) {
    decode.transferSource = source;
    long now = core.context.now();
    source.link.started(now, bytes);
    decode.upstream.link.started(now, bytes);
  }

  void endTransfer(Attempt decode) {
    if (decode.transferSource == null) {
      return;
    }
    long now = core.context.now();
    decode.transferSource.link.ended(now);
    decode.upstream.link.ended(now);
    decode.transferSource = null;
  }

  /** Ends a prefill whose KV cache was transferred, so that its engine holds nothing for it. */
  void prefillTransferred(RequestState request) {
    Attempt prefill = request.prefill;
    request.prefill = null;
    request.transferredPrefill = prefill;
    core.upstreams.detach(prefill);
    core.attempts.retire(prefill);
  }

  /** Ends a prefill whose KV cache will not be used. */
  void dropPrefill(RequestState request, Remains remains) {
    Attempt prefill = request.prefill;
    if (prefill == null) {
      return;
    }
    releaseReservation(request);
    request.route.held.remove(request.id());
    final int wastedTokens = prefill.prefilling ? computedTokens(prefill) : prefill.prefillTokens;
    request.prefill = null;
    request.kvBytes = 0;
    request.cancelledTransfer = null;
    end(prefill, remains);
    reportWasted(prefill, wastedTokens);
  }

  /** Ends a decode, during its transfer or its generation. */
  void dropDecode(RequestState request, Remains remains) {
    Attempt decode = request.decode;
    if (decode == null) {
      return;
    }
    endTransfer(decode);
    request.decode = null;
    end(decode, remains);
    if (request.transferredPrefill != null) {
      reportWasted(request.transferredPrefill, request.transferredPrefill.prefillTokens);
      request.transferredPrefill = null;
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

  /** Ends all attempts of a request and releases everything that it holds. */
  void dropAll(RequestState request) {
    dropDecode(request, Remains.MAYBE);
    dropPrefill(request, Remains.MAYBE);
    dropPlain(request, Remains.MAYBE);
    dropClaim(request);
  }

  /**
   * Ends a claim; a claim without an answer is kept as former, to be released if it is granted
   * late.
   */
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
    core.upstreams.detach(attempt);
    core.attempts.retire(attempt);
    if (remains == Remains.MAYBE) {
      core.cancels.cancel(attempt.id, attempt.request.id(), attempt.upstream);
    }
  }

  private int computedTokens(Attempt prefill) {
    double predictedNanos =
        Math.max(1, prefill.upstream.speeds.prefillNanos(prefill.prefillTokens));
    double completedShare = (core.context.now() - prefill.startedAt) / predictedNanos;
    return (int) (prefill.prefillTokens * Math.min(1, completedShare));
  }

  private void reportWasted(Attempt prefill, int tokens) {
    if (tokens > 0) {
      core.context.report(
          new Fact.PrefillWasted(prefill.request.id(), prefill.id, prefill.upstream.name, tokens));
    }
  }
}
