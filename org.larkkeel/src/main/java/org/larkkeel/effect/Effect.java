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
 * An action that the reducer requests from its adapters.
 *
 * <p>Each effect of type {@link OfAttempt} is answered by an event of the same attempt: the event
 * of its success or {@code AttemptFailed}. Immutable and safe for use by several threads.
 *
 * @since 0.1
 */
public sealed interface Effect {
  /** An effect on one attempt of one request. */
  sealed interface OfAttempt extends Effect {
    /**
     * Returns the attempt.
     *
     * @return its id
     */
    AttemptId attempt();

    /**
     * Returns the request.
     *
     * @return its id
     */
    RequestId request();
  }

  /**
   * Compute the KV cache of the prompt and of the tokens that were already forwarded. Answered by
   * {@code PrefillDone} or {@code AttemptFailed}.
   *
   * @param attempt the prefill attempt
   * @param request the request
   * @param upstream the prefill engine
   * @param priority the priority in the engine; lower values run earlier
   * @param resumeFrom the number of tokens of the answer that were already forwarded
   * @param timeoutNanos the time after which the adapter reports a timeout
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
   * Transfer a KV cache to a decode engine, where it takes a slot. Answered by {@code TransferDone}
   * or {@code AttemptFailed}.
   *
   * @param attempt the decode attempt
   * @param request the request
   * @param prefill the prefill attempt that holds the KV cache
   * @param from the engine that holds it
   * @param to the decode engine
   * @param timeoutNanos the time after which the adapter reports a timeout
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
   * Generate tokens from a transferred KV cache and forward them, each index once. Answered by
   * {@code FirstToken} and then {@code DecodeDone} or {@code AttemptFailed}.
   *
   * @param attempt the decode attempt, the same as that of the transfer
   * @param request the request
   * @param upstream the decode engine
   * @param priority the priority in the engine; lower values run earlier
   * @param resumeFrom the index of the first token to generate
   * @param timeoutNanos the maximum time between two tokens before the adapter reports a timeout
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
   * @param timeoutNanos the time after which the adapter reports a timeout
   */
  record SendPlain(AttemptId attempt, RequestId request, UpstreamName upstream, long timeoutNanos)
      implements OfAttempt {}

  /**
   * Free everything that the upstream holds for an attempt, and drop its stream. Answered by {@code
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
   * @param attempt the attempt that waits for the claim
   * @param request the request
   * @param workspace the workspace of the key
   * @param key the key and the digest of the request
   */
  record ClaimRun(AttemptId attempt, RequestId request, WorkspaceName workspace, RunKey key)
      implements OfAttempt {}

  /**
   * Record durably how a claimed run ended; the listener holds the answer. Answered by {@code
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
   * End the answer to the caller: this attempt has received it completely. The last effect of a
   * request.
   *
   * @param request the request
   * @param attempt the attempt whose answer is delivered
   */
  record Complete(RequestId request, AttemptId attempt) implements Effect {}

  /**
   * Answer with the recorded result of an earlier run of the same key. The last effect of a
   * request.
   *
   * @param request the request
   * @param attempt the attempt whose claim returned the record
   */
  record Replay(RequestId request, AttemptId attempt) implements Effect {}

  /**
   * Answer with an error, or end the stream with one. The last effect of a request.
   *
   * @param request the request
   * @param kind the kind of the error
   * @param retryAfterMillis the delay after which the caller should retry; 0 if a retry makes no
   *     sense
   * @param detail one sentence for the caller, without secrets
   */
  record Refuse(RequestId request, ErrorKind kind, long retryAfterMillis, String detail)
      implements Effect {}

  /**
   * Drop everything kept for a request whose caller has disconnected. The last effect of a request.
   *
   * @param request the request
   */
  record Forget(RequestId request) implements Effect {}

  /**
   * Request a number of an upstream's slots from the owner of the slots. May be answered by {@code
   * SlotsGranted}.
   *
   * @param upstream the upstream
   * @param wanted the number of slots that this node can use now, including those it holds
   */
  record WantSlots(UpstreamName upstream, int wanted) implements Effect {}

  /**
   * Report this node's demand of a workspace to the owner of the workspace's limits. May be
   * answered by {@code LimitGranted}.
   *
   * @param workspace the workspace
   * @param requestsPerSecond the rate of arriving requests
   * @param promptTokensPerSecond the rate of arriving prompt tokens
   * @param concurrency the number of requests that are or want to be in progress
   */
  record WantLimit(
      WorkspaceName workspace,
      double requestsPerSecond,
      double promptTokensPerSecond,
      int concurrency)
      implements Effect {}

  /**
   * Deliver {@code Ticked} at a time. Several such effects do not replace each other: each is
   * delivered.
   *
   * @param at the time in nanoseconds on the node's clock
   */
  record Wake(long at) implements Effect {}

  /**
   * Count and log a fact.
   *
   * @param fact the fact
   */
  record Report(Fact fact) implements Effect {}
}
