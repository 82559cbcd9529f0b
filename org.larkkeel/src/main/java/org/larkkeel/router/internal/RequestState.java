/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

import org.larkkeel.call.Call;
import org.larkkeel.call.PrefixKeys;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.lib.RequestId;

/**
 * The state of one request in progress.
 *
 * <p>Invariant: a request in stage {@code ENDED} is in no table, lane or ledger. Not safe for use
 * by several threads.
 *
 * @since 0.1
 */
public final class RequestState {
  /** The request as it was received. */
  public final Call call;

  /** The time of arrival. */
  public final long arrivedAt;

  /** The timer for the next deadline, target, end of a retry delay or end of a KV cache hold. */
  public final Timer timer;

  /** The route, which follows changes of the configuration. */
  public Route route;

  /** The current stage. */
  public RequestStage stage = RequestStage.RECEIVED;

  /** The target time of the first token, or of the answer of a plain call. */
  public long targetAt;

  /** The time at which the request fails if it has no answer. */
  public long deadline;

  /** The claim of the at-most-once run; null if none was requested. */
  public Attempt claim;

  /** The prefill that runs or whose KV cache is held at the prefill engine; null if none. */
  public Attempt prefill;

  /** The decode attempt, from the start of its transfer; null if none. */
  public Attempt decode;

  /** The prefill whose KV cache has been transferred but not yet used for a token; null if none. */
  public Attempt transferredPrefill;

  /** The plain call in progress; null if none. */
  public Attempt plain;

  /** The attempt whose answer is being recorded; null before that. */
  public Attempt answeredAttempt;

  /** The decode engine at which a slot is reserved; null if none. */
  public UpstreamState reservedDecode;

  /** The bytes reserved on the links of the prefill and the decode engine. */
  public long reservedLinkBytes;

  /** The size of the held KV cache in bytes; 0 if none is held. */
  public long kvBytes;

  /** The time since when the KV cache is held. */
  public long kvHeldSince;

  /** The number of attempts at upstreams, without those that were refused for lack of capacity. */
  public int attemptCount;

  /** The number of failed transfers of the KV cache that is held. */
  public int failedTransfers;

  /** The failed transfer whose cancel must end before the next transfer; null if none. */
  public AttemptId cancelledTransfer;

  /** The number of tokens of the answer that were delivered to the caller. */
  public int deliveredTokens;

  /** The time at which the first token was delivered; 0 before that. */
  public long firstTokenAt;

  /** The end of the delay before a retry; 0 if there is none. */
  public long delayedUntil;

  /** The upstream of the last failed attempt, which the next one avoids if it can; null if none. */
  public UpstreamState failedUpstream;

  /** True if an upstream may have run the request, in part or completely. */
  public boolean mayHaveRun;

  /** True if an attempt got as far as an upstream, even if that refused it. */
  public boolean reachedUpstream;

  /** True if the request must run at most once. */
  public boolean atMostOnce;

  /** True if the at-most-once run is claimed durably. */
  public boolean claimed;

  /** True if the caller has left and nobody waits for the answer. */
  public boolean callerGone;

  /** True if the request missed its target in the queue and is served after the others. */
  public boolean late;

  /** True if the last refusal was for lack of capacity rather than of an upstream. */
  public boolean refusedForCapacity;

  /** The lane in which the request waits; null if none. */
  Lane lane;

  /** The queue of its workspace within the lane; null if the request is in no lane. */
  WorkspaceQueue workspaceQueue;

  /**
   * Creates the state of a request.
   *
   * @param call the request as it was received
   * @param route the route; null until one is found
   * @param now the time of arrival
   * @param onTimer the action of the request's timer
   */
  public RequestState(Call call, Route route, long now, Runnable onTimer) {
    this.call = call;
    this.route = route;
    this.arrivedAt = now;
    this.timer = new Timer(onTimer);
  }

  /**
   * Returns the id of the request.
   *
   * @return the id
   */
  public RequestId id() {
    return call.id();
  }

  /**
   * Returns the number of tokens that a prefill must cover: the prompt and the delivered part of
   * the answer.
   *
   * @return tokens
   */
  public int contextTokens() {
    return call.promptTokens() + deliveredTokens;
  }

  /**
   * Returns the keys of the prompt's prefixes.
   *
   * @return the keys; {@link PrefixKeys#NONE} for a plain call
   */
  public PrefixKeys prefixes() {
    return switch (call) {
      case Call.Completion completion -> completion.prefixes();
      case Call.Plain plain -> PrefixKeys.NONE;
    };
  }

  /**
   * Returns whether this is a plain call.
   *
   * @return true if so
   */
  public boolean isPlain() {
    return call instanceof Call.Plain;
  }

  /**
   * Returns whether an attempt of the request is at an upstream now.
   *
   * @return true if so
   */
  public boolean isAtUpstream() {
    return prefill != null || decode != null || plain != null;
  }
}
