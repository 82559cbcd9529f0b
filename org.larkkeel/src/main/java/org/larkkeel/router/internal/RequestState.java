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
 * What the router keeps of one request.
 *
 * <p>Invariant: a request in stage {@code ENDED} is in no table, lane or ledger. Not safe for use
 * by several threads.
 *
 * @since 0.1
 */
public final class RequestState {
  /** What was asked. */
  public final Call call;

  /** When it arrived. */
  public final long arrivedAt;

  /** Its next moment: a deadline, the end of a delay or of a hold. */
  public final Timer timer;

  /** Its rule and pools; changes when the configuration does. */
  public Route route;

  /** Where it is. */
  public RequestStage stage = RequestStage.RECEIVED;

  /** When the first token, or the answer of a plain call, is wanted. */
  public long firstTarget;

  /** When it is given up. */
  public long deadline;

  /** The claim of its run; null if none was asked for. */
  public Attempt claim;

  /** The prefill that runs, or whose KV cache is held; null if none. */
  public Attempt prefill;

  /** The decode that transfers or generates; null if none. */
  public Attempt decode;

  /** The prefill whose KV cache has moved and is not yet known to be used; null if none. */
  public Attempt moved;

  /** The plain call under way; null if none. */
  public Attempt plain;

  /** The attempt whose answer is being recorded; null before. */
  public Attempt answered;

  /** The decode engine that has promised a slot; null if none. */
  public UpstreamState promised;

  /** Bytes promised on the links of prefill and decode engine. */
  public long promisedBytes;

  /** Size of the KV cache held. */
  public long kvBytes;

  /** When the KV cache began to be held. */
  public long heldSince;

  /** Attempts made, from queue to upstream. */
  public int attempts;

  /** Decode engines tried with the KV cache that is held. */
  public int transfers;

  /** The broken transfer whose cancel has to end before the next; null if none. */
  public AttemptId settling;

  /** Tokens of the answer passed on. */
  public int tokens;

  /** When the first token was passed on; 0 before. */
  public long firstTokenAt;

  /** When a delay before another attempt ends; 0 if there is none. */
  public long delayedUntil;

  /** The upstream to avoid in the next attempt; null if none. */
  public UpstreamState avoid;

  /** Whether an upstream may have run it, in part or in full. */
  public boolean mayHaveRun;

  /** Whether any upstream has answered it, be it by a refusal. */
  public boolean reached;

  /** Whether it may run only once. */
  public boolean once;

  /** Whether its run is claimed durably. */
  public boolean claimed;

  /** Whether nobody waits for its answer any more. */
  public boolean callerGone;

  /** Whether it missed its target while it waited and is served after the others. */
  public boolean late;

  /** Whether the last refusal was for want of room rather than of an upstream. */
  public boolean crowded;

  /** The lane that it waits in; null if it waits in none. */
  Lane lane;

  /** Its order within its lane, by finish tag of its workspace. */
  WorkspaceQueue workspaceQueue;

  /**
   * Creates the state of a request.
   *
   * @param call what was asked
   * @param route its rule and pools
   * @param now when it arrived
   * @param onTimer what is done at its next moment
   */
  public RequestState(Call call, Route route, long now, Runnable onTimer) {
    this.call = call;
    this.route = route;
    this.arrivedAt = now;
    this.timer = new Timer(onTimer);
  }

  /**
   * Its id.
   *
   * @return the id
   */
  public RequestId id() {
    return call.id();
  }

  /**
   * Tokens that a prefill has to cover: the prompt and what was passed on.
   *
   * @return tokens
   */
  public int contextTokens() {
    return call.promptTokens() + tokens;
  }

  /**
   * The keys of the prompt's prefixes.
   *
   * @return keys; none for a plain call
   */
  public PrefixKeys prefixes() {
    return switch (call) {
      case Call.Completion completion -> completion.prefixes();
      case Call.Plain plain -> PrefixKeys.NONE;
    };
  }

  /**
   * Tells whether it is a plain call.
   *
   * @return true if so
   */
  public boolean isPlain() {
    return call instanceof Call.Plain;
  }

  /**
   * Tells whether anything of it is at an upstream now.
   *
   * @return true if so
   */
  public boolean isAtUpstream() {
    return prefill != null || decode != null || plain != null;
  }
}
