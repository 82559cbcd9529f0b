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
 * Something that happened, with its time.
 *
 * <p>Invariant: the times of the events given to one reducer never decrease. Immutable and safe for
 * use by several threads.
 *
 * @since 0.1
 */
public sealed interface Event {
  /**
   * When it happened.
   *
   * @return nanoseconds on the node's monotonic clock
   */
  long at();

  /** An event about one attempt; the reducer ignores it once the attempt is no longer current. */
  sealed interface OfAttempt extends Event {
    /**
     * The attempt.
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
   * A prefill is complete and its KV cache is held by the upstream for a short time.
   *
   * @param at the time
   * @param attempt the prefill attempt
   * @param kvBytes size of the KV cache
   * @param cachedTokens prompt tokens that were found in the prefix cache
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
   * The first token of this attempt was passed on.
   *
   * @param at the time
   * @param attempt the decode attempt
   */
  record FirstToken(long at, AttemptId attempt) implements OfAttempt {}

  /**
   * The last token was passed on.
   *
   * @param at the time
   * @param attempt the decode attempt
   * @param tokens tokens of the whole answer, those of earlier attempts included
   */
  record DecodeDone(long at, AttemptId attempt, int tokens) implements OfAttempt {}

  /**
   * A service answered in full; the listener keeps the answer.
   *
   * @param at the time
   * @param attempt the attempt
   */
  record PlainDone(long at, AttemptId attempt) implements OfAttempt {}

  /**
   * An attempt failed, in whatever step it was.
   *
   * @param at the time
   * @param attempt the attempt
   * @param cause why
   * @param exposure how far the request got
   * @param tokens tokens of the answer passed on so far, those of earlier attempts included
   */
  record AttemptFailed(
      long at, AttemptId attempt, FailureCause cause, Exposure exposure, int tokens)
      implements OfAttempt {}

  /**
   * A try to cancel an attempt ended.
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
   * @param outcome the answer
   */
  record ClaimSettled(long at, AttemptId attempt, ClaimOutcome outcome) implements OfAttempt {}

  /**
   * Writing down the outcome of an at-most-once run ended.
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
   * An upstream could not be asked for its load.
   *
   * @param at the time
   * @param upstream the upstream
   */
  record LoadUnavailable(long at, UpstreamName upstream) implements Event {}

  /**
   * An upstream published a change of its prefix cache, late and perhaps after a gap.
   *
   * @param at the time of arrival
   * @param upstream the upstream
   * @param incarnation its start
   * @param sequence the number of the change
   * @param stored prefix keys stored
   * @param removed prefix keys removed
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
   * A configuration is to come into force; an older one than that in force is ignored.
   *
   * @param at the time
   * @param configuration the whole configuration
   */
  record ConfigurationAccepted(long at, Configuration configuration) implements Event {}

  /**
   * The set of live nodes changed.
   *
   * @param at the time
   * @param live names of the live nodes, this one included
   */
  record PeersChanged(long at, ImmutableSortedSet<HostName> live) implements Event {}

  /**
   * The owner of an upstream's slots set the number that this node may use; it replaces the number
   * before.
   *
   * @param at the time
   * @param upstream the upstream
   * @param slots slots that this node may use until then
   * @param until the end of the grant, nanoseconds
   */
  record SlotsGranted(long at, UpstreamName upstream, int slots, long until) implements Event {}

  /**
   * The owner of a workspace's limits set the share of this node; it replaces the share before.
   *
   * @param at the time
   * @param workspace the workspace
   * @param share the share until then
   * @param until the end of the grant, nanoseconds
   */
  record LimitGranted(long at, WorkspaceName workspace, LimitShare share, long until)
      implements Event {}

  /**
   * The node is to stop: no new requests, those in progress are finished.
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
