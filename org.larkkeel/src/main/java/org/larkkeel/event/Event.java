/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.event;

import com.google.common.collect.ImmutableSortedSet;
import com.google.common.primitives.ImmutableLongArray;
import org.larkkeel.call.Call;
import org.larkkeel.config.Configuration;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.lib.WorkspaceName;

/**
 * An input of the reducer, with the time at which it happened.
 *
 * <p>Invariant: the times of the events passed to one reducer never decrease. Immutable and safe
 * for use by several threads.
 *
 * @since 0.1
 */
public sealed interface Event {
  /**
   * Returns the time of the event.
   *
   * @return nanoseconds on the node's monotonic clock
   */
  long at();

  /** An event of one attempt; the reducer ignores it if the attempt is no longer current. */
  sealed interface OfAttempt extends Event {
    /**
     * Returns the attempt.
     *
     * @return its id
     */
    AttemptId attempt();
  }

  /**
   * A request arrived from a caller.
   *
   * @param at the time
   * @param call the request
   */
  record RequestArrived(long at, Call call) implements Event {}

  /**
   * The caller of a request closed its connection.
   *
   * @param at the time
   * @param request the request
   */
  record CallerGone(long at, RequestId request) implements Event {}

  /**
   * A prefill is complete, and the upstream holds its KV cache for a short time.
   *
   * @param at the time
   * @param attempt the prefill attempt
   * @param kvBytes the size of the KV cache
   * @param cachedTokens the number of prompt tokens that were found in the prefix cache
   */
  record PrefillDone(long at, AttemptId attempt, long kvBytes, int cachedTokens)
      implements OfAttempt {}

  /**
   * A KV cache has arrived at the decode engine.
   *
   * @param at the time
   * @param attempt the decode attempt that it belongs to
   */
  record TransferDone(long at, AttemptId attempt) implements OfAttempt {}

  /**
   * The first token of this attempt was forwarded.
   *
   * @param at the time
   * @param attempt the decode attempt
   */
  record FirstToken(long at, AttemptId attempt) implements OfAttempt {}

  /**
   * The last token was forwarded.
   *
   * @param at the time
   * @param attempt the decode attempt
   * @param tokens the number of tokens of the complete answer, including those of earlier attempts
   */
  record DecodeDone(long at, AttemptId attempt, int tokens) implements OfAttempt {}

  /**
   * A service answered completely; the listener holds the answer.
   *
   * @param at the time
   * @param attempt the attempt
   */
  record PlainDone(long at, AttemptId attempt) implements OfAttempt {}

  /**
   * An attempt failed in any of its steps.
   *
   * @param at the time
   * @param attempt the attempt
   * @param cause the cause of the failure
   * @param exposure how far the request got towards the upstream
   * @param tokens the number of tokens of the answer forwarded so far, including those of earlier
   *     attempts
   */
  record AttemptFailed(
      long at, AttemptId attempt, FailureCause cause, Exposure exposure, int tokens)
      implements OfAttempt {}

  /**
   * An attempt to cancel work at an upstream ended.
   *
   * @param at the time
   * @param attempt the attempt
   * @param outcome the result
   */
  record CancelSettled(long at, AttemptId attempt, CancelOutcome outcome) implements OfAttempt {}

  /**
   * A claim of an at-most-once run was answered.
   *
   * @param at the time
   * @param attempt the attempt that waits for the claim
   * @param outcome the result
   */
  record ClaimSettled(long at, AttemptId attempt, ClaimOutcome outcome) implements OfAttempt {}

  /**
   * The attempt to record the outcome of an at-most-once run ended.
   *
   * @param at the time
   * @param attempt the attempt that ran
   * @param outcome the result
   */
  record RecordSettled(long at, AttemptId attempt, RecordOutcome outcome) implements OfAttempt {}

  /**
   * An upstream reported its load.
   *
   * @param at the time of arrival
   * @param upstream the upstream
   * @param report the report
   */
  record LoadReported(long at, UpstreamName upstream, LoadReport report) implements Event {}

  /**
   * The load of an upstream could not be queried.
   *
   * @param at the time
   * @param upstream the upstream
   */
  record LoadUnavailable(long at, UpstreamName upstream) implements Event {}

  /**
   * An upstream published a change of its prefix cache; it may arrive late, and changes may be
   * missing before it.
   *
   * @param at the time of arrival
   * @param upstream the upstream
   * @param incarnation the incarnation of the upstream
   * @param sequence the sequence number of the change
   * @param stored the prefix keys that were stored
   * @param removed the prefix keys that were removed
   */
  record CacheChanged(
      long at,
      UpstreamName upstream,
      Incarnation incarnation,
      long sequence,
      ImmutableLongArray stored,
      ImmutableLongArray removed)
      implements Event {}

  /**
   * A configuration is to come into force; it is ignored if it is older than the one in force.
   *
   * @param at the time
   * @param configuration the complete configuration
   */
  record ConfigurationAccepted(long at, Configuration configuration) implements Event {}

  /**
   * The set of live nodes changed.
   *
   * @param at the time
   * @param live the names of the live nodes, including this one
   */
  record PeersChanged(long at, ImmutableSortedSet<HostName> live) implements Event {}

  /**
   * The owner of an upstream's slots set the number of slots that this node may use; it replaces
   * the previous number.
   *
   * @param at the time
   * @param upstream the upstream
   * @param slots the number of slots that this node may use until then
   * @param until the end of the grant, in nanoseconds on the node's clock
   */
  record SlotsGranted(long at, UpstreamName upstream, int slots, long until) implements Event {}

  /**
   * The owner of a workspace's limits set the share of this node; it replaces the previous share.
   *
   * @param at the time
   * @param workspace the workspace
   * @param share the share until then
   * @param until the end of the grant, in nanoseconds on the node's clock
   */
  record LimitGranted(long at, WorkspaceName workspace, LimitShare share, long until)
      implements Event {}

  /**
   * The node drains: it accepts no new requests and finishes those in progress.
   *
   * @param at the time
   */
  record StopRequested(long at) implements Event {}

  /**
   * Time has passed.
   *
   * @param at the time
   */
  record Ticked(long at) implements Event {}
}
