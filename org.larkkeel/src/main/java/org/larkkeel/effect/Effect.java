/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.effect;

import org.larkkeel.call.RunKey;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.lib.WorkspaceName;

/**
 * Something to be done outside the reducer.
 *
 * <p>Each effect of {@link OfAttempt} comes back as an event of that attempt: its success or {@code
 * AttemptFailed}. Immutable and safe for use by several threads.
 *
 * @since 0.1
 */
public sealed interface Effect {
  /** An effect that works on one attempt of one request. */
  sealed interface OfAttempt extends Effect {
    /**
     * The attempt.
     *
     * @return its id
     */
    AttemptId attempt();

    /**
     * The request.
     *
     * @return its id
     */
    RequestId request();
  }

  /**
   * Compute the KV cache of the prompt and of the tokens already passed on. Answered by {@code
   * PrefillDone} or {@code AttemptFailed}.
   *
   * @param attempt the prefill attempt
   * @param request the request
   * @param upstream the prefill engine
   * @param priority lower runs earlier in the engine
   * @param resumeFrom tokens of the answer that are already passed on
   * @param timeoutNanos after this the adapter reports a timeout
   */
  record StartPrefill(
      AttemptId attempt,
      RequestId request,
      UpstreamName upstream,
      int priority,
      int resumeFrom,
      long timeoutNanos)
      implements OfAttempt {}

  /**
   * Move a KV cache to a decode engine, where it takes a slot. Answered by {@code TransferDone} or
   * {@code AttemptFailed}.
   *
   * @param attempt the decode attempt
   * @param request the request
   * @param prefill the prefill attempt that holds the KV cache
   * @param from the engine that holds it
   * @param to the decode engine
   * @param timeoutNanos after this the adapter reports a timeout
   */
  record StartTransfer(
      AttemptId attempt,
      RequestId request,
      AttemptId prefill,
      UpstreamName from,
      UpstreamName to,
      long timeoutNanos)
      implements OfAttempt {}

  /**
   * Generate tokens from a transferred KV cache and pass them on, each index once. Answered by
   * {@code FirstToken} and then {@code DecodeDone} or {@code AttemptFailed}.
   *
   * @param attempt the decode attempt, the same as that of the transfer
   * @param request the request
   * @param upstream the decode engine
   * @param priority lower runs earlier in the engine
   * @param resumeFrom the index of the first token to generate
   * @param timeoutNanos longest silence between two tokens before the adapter reports a timeout
   */
  record StartDecode(
      AttemptId attempt,
      RequestId request,
      UpstreamName upstream,
      int priority,
      int resumeFrom,
      long timeoutNanos)
      implements OfAttempt {}

  /**
   * Send a plain call. Answered by {@code PlainDone} or {@code AttemptFailed}.
   *
   * @param attempt the attempt
   * @param request the request
   * @param upstream the service
   * @param timeoutNanos after this the adapter reports a timeout
   */
  record SendPlain(AttemptId attempt, RequestId request, UpstreamName upstream, long timeoutNanos)
      implements OfAttempt {}

  /**
   * Free whatever the upstream holds for an attempt, and drop its stream. Answered by {@code
   * CancelSettled}.
   *
   * @param attempt the attempt
   * @param request the request
   * @param upstream the upstream
   */
  record Cancel(AttemptId attempt, RequestId request, UpstreamName upstream) implements OfAttempt {}

  /**
   * Claim an at-most-once run durably. Answered by {@code ClaimSettled}.
   *
   * @param attempt the attempt that waits for it
   * @param request the request
   * @param workspace the workspace of the key
   * @param key the key and the digest of the request
   */
  record ClaimRun(AttemptId attempt, RequestId request, WorkspaceName workspace, RunKey key)
      implements OfAttempt {}

  /**
   * Record durably how a claimed run ended; the listener has the answer. Answered by {@code
   * RecordSettled}.
   *
   * @param attempt the attempt that ran
   * @param request the request
   * @param workspace the workspace of the key
   * @param key the key and the digest of the request
   * @param result how it ended
   */
  record RecordRun(
      AttemptId attempt, RequestId request, WorkspaceName workspace, RunKey key, RunResult result)
      implements OfAttempt {}

  /**
   * End the answer to the caller: the whole of it has been received in this attempt. The last
   * effect of a request.
   *
   * @param request the request
   * @param attempt the attempt whose answer counts
   */
  record Complete(RequestId request, AttemptId attempt) implements Effect {}

  /**
   * Answer with what an earlier run of the same key recorded. The last effect of a request.
   *
   * @param request the request
   * @param attempt the attempt whose claim brought the record
   */
  record Replay(RequestId request, AttemptId attempt) implements Effect {}

  /**
   * Answer with an error, or end the stream with one. The last effect of a request.
   *
   * @param request the request
   * @param kind the kind of the error
   * @param retryAfterMillis when to come back; 0 if it is of no use to say
   * @param detail one sentence for the caller, without secrets
   */
  record Refuse(RequestId request, ErrorKind kind, long retryAfterMillis, String detail)
      implements Effect {}

  /**
   * Drop everything kept for a request whose caller is gone. The last effect of a request.
   *
   * @param request the request
   */
  record Forget(RequestId request) implements Effect {}

  /**
   * Ask the owner of an upstream's slots for a number of them. May be answered by {@code
   * SlotsGranted}.
   *
   * @param upstream the upstream
   * @param wanted slots that this node can use now, those it holds included
   */
  record WantSlots(UpstreamName upstream, int wanted) implements Effect {}

  /**
   * Tell the owner of a workspace's limits what this node sees. May be answered by {@code
   * LimitGranted}.
   *
   * @param workspace the workspace
   * @param requestsPerSecond requests that arrived a second
   * @param promptTokensPerSecond prompt tokens that arrived a second
   * @param concurrency requests that are or want to be in progress
   */
  record WantLimit(
      WorkspaceName workspace,
      double requestsPerSecond,
      double promptTokensPerSecond,
      int concurrency)
      implements Effect {}

  /**
   * Deliver {@code Ticked} at a time. A later one replaces none: each is delivered.
   *
   * @param at nanoseconds on the node's clock
   */
  record Wake(long at) implements Effect {}

  /**
   * Count and log a fact.
   *
   * @param fact the fact
   */
  record Report(Fact fact) implements Effect {}
}
