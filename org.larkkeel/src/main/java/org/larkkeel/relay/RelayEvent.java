/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.larkkeel.balance.SpeedSample;
import org.larkkeel.balance.UpstreamSpeed;
import org.larkkeel.event.FailureCause;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.lib.Fingerprint;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.lib.WorkspaceName;
import org.larkkeel.quota.QuotaGrant;

/**
 * An input of the relay's reducer, with the time at which it happened in nanoseconds of a steady
 * clock.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @since 0.1
 */
public sealed interface RelayEvent {
  /** Returns the time of the event. */
  long at();

  /** An event of one attempt; it is ignored if the attempt has ended. */
  sealed interface OfAttempt extends RelayEvent {
    /** Returns the attempt. */
    AttemptId attempt();
  }

  /** The request of a caller was read completely. */
  record Arrived(long at, RelayCall call) implements RelayEvent {}

  /** The caller has closed its connection. */
  record CallerLeft(long at, RequestId call) implements RelayEvent {}

  /**
   * A prefill upstream has prefilled the prompt; other upstreams fetch the result by the handle.
   */
  record PromptRead(long at, AttemptId attempt, String handle) implements OfAttempt {}

  /** The first event of a successful stream was received. */
  record Began(long at, AttemptId attempt) implements OfAttempt {}

  /**
   * The given number of complete events of the attempt was forwarded to the caller since the
   * previous such event.
   */
  record Progressed(long at, AttemptId attempt, int events) implements OfAttempt {}

  /** The complete answer was received. */
  record Answered(long at, AttemptId attempt, AnswerGrade grade) implements OfAttempt {}

  /** The attempt has not run and never will. */
  record Refused(long at, AttemptId attempt, RefusalCause cause) implements OfAttempt {}

  /** The attempt may have run, and its complete answer can not be obtained. */
  record Lost(long at, AttemptId attempt, FailureCause cause) implements OfAttempt {}

  /**
   * The answer to {@code RelayEffect.Move}.
   *
   * @param at the time at which the answer was received
   * @param attempt the attempt that is being moved
   * @param result the result of the step
   */
  record Moved(long at, AttemptId attempt, MoveResult result) implements OfAttempt {}

  /**
   * A call was refused by its head with {@code RelayRouter.earlyRefusal}.
   *
   * @param at the current time
   * @param workspace the workspace of the call
   * @param tokens the tokens that the call would have taken
   */
  record RefusedEarly(long at, WorkspaceName workspace, long tokens) implements RelayEvent {}

  /**
   * The differences of the discovery list from its previous state.
   *
   * @param at the time at which the list was read
   * @param unixMillis the time of day at {@code at}, if the numbers of incarnations are the Unix
   *     milliseconds of their starts; empty if they tell no time
   * @param afterGap true if changes may be missing that were made and undone since the previous
   *     state, as the list was not followed all the while
   * @param changed upstreams that are new or have changed, by name
   * @param removed names that are no longer on the list
   */
  record UpstreamsChanged(
      long at,
      OptionalLong unixMillis,
      boolean afterGap,
      ImmutableMap<UpstreamName, RelayUpstream> changed,
      ImmutableSet<UpstreamName> removed)
      implements RelayEvent {
    /**
     * Creates differences of a list that was followed all the while, and whose incarnations do not
     * tell their starts.
     */
    public UpstreamsChanged(
        long at,
        ImmutableMap<UpstreamName, RelayUpstream> changed,
        ImmutableSet<UpstreamName> removed) {
      this(at, OptionalLong.empty(), false, changed, removed);
    }

    /** Returns when a listed incarnation started; the time of the list if that is not known. */
    public long startedAt(UpstreamIncarnation incarnation) {
      if (unixMillis.isEmpty() || !incarnation.isKnown()) {
        return at;
      }
      long age = unixMillis.getAsLong() - incarnation.incarnation().value();
      return at - TimeUnit.MILLISECONDS.toNanos(Math.max(0, age));
    }
  }

  /**
   * This node has ordered an upstream to take another stage; the upstream gets no work until its
   * stage has changed.
   *
   * @param at the current time
   * @param upstream the upstream that is ordered
   * @param maxNanos the maximum time for which the upstream gets no work
   */
  record Ordered(long at, UpstreamIncarnation upstream, long maxNanos) implements RelayEvent {}

  /** An order was refused, so the upstream continues in its previous stage. */
  record OrderRefused(long at, UpstreamIncarnation upstream) implements RelayEvent {}

  /** A configuration was read; it is ignored unless it is newer than the one in force. */
  record ConfigurationRead(long at, RelayConfiguration configuration) implements RelayEvent {}

  /**
   * The load report of another node was received.
   *
   * @param at the time at which it was received
   * @param node the reporting node
   * @param loads its load in flight at each upstream, in the units of {@code RelayRouter.loads}
   * @param losingHandles the upstreams at which the node recently observed that prefill handles are
   *     lost immediately
   */
  record LoadHeard(
      long at,
      HostName node,
      ImmutableMap<UpstreamIncarnation, Long> loads,
      ImmutableSet<UpstreamIncarnation> losingHandles)
      implements RelayEvent {}

  /**
   * All calls for which another node currently requests reservations from this one.
   *
   * @param at the time at which the message was received
   * @param node the requesting node
   * @param dataCentre the data centre of that node
   * @param requests the requests, one for each call
   */
  record RoomAsked(
      long at, HostName node, DataCentreName dataCentre, ImmutableList<ReservationRequest> requests)
      implements RelayEvent {}

  /**
   * The reservation coordinator has reserved memory for a call of this node.
   *
   * @param at the time at which the grant was received
   * @param call the call
   * @param reservedUpstream the upstream where the memory is reserved and which will run the call
   * @param prefillUpstream the prefill upstream; empty if the reserved upstream prefills the prompt
   *     itself
   */
  record RoomGranted(
      long at,
      RequestId call,
      UpstreamIncarnation reservedUpstream,
      Optional<UpstreamIncarnation> prefillUpstream)
      implements RelayEvent {}

  /**
   * The reservation coordinator has rejected a call of this node.
   *
   * @param at the time at which the rejection was received
   * @param call the call
   * @param retryAfterMillis the time after which capacity is forecast for a retry; 0 for none
   */
  record RoomRejected(long at, RequestId call, long retryAfterMillis) implements RelayEvent {}

  /**
   * The reservation coordinator forecasts the waits of the calls of some services.
   *
   * @param at the time at which the message was received
   * @param services all services with a forecast
   */
  record ForecastsHeard(long at, ImmutableSet<ServiceName> services) implements RelayEvent {}

  /**
   * An answer of an upstream contains a notice about the upstream itself.
   *
   * @param at the time at which the answer was received
   * @param upstream the incarnation to which the request was sent
   * @param sentAt the time at which the request was sent; the notice is not older than this
   * @param notice the notice
   */
  record Noticed(long at, UpstreamIncarnation upstream, long sentAt, UpstreamNotice notice)
      implements RelayEvent {}

  /** Another node's report about the rate limits of upstreams was received. */
  record RatesHeard(long at, ImmutableList<RateLimitReport> reports) implements RelayEvent {}

  /** The answer to {@code RelayEffect.Probe}. */
  record Probed(long at, UpstreamIncarnation upstream, UpstreamPath path, ProbeResult result)
      implements RelayEvent {}

  /** Another node's report about suspects of crashes was received. */
  record SuspectsHeard(long at, ImmutableList<CrashSuspect> suspects) implements RelayEvent {}

  /** An operator has released a request or a part of prompts from quarantine. */
  record Released(long at, Fingerprint request) implements RelayEvent {}

  /** Another node's measurements of engines were received. */
  record SpeedSamplesHeard(long at, ImmutableList<SpeedSample> samples) implements RelayEvent {}

  /**
   * The reservation coordinator has reported the speeds of engines.
   *
   * @param at the time at which the report was received
   * @param speeds the speeds that deviate from the median of their service; they replace those of
   *     the previous report
   */
  record SpeedsHeard(long at, ImmutableList<UpstreamSpeed> speeds) implements RelayEvent {}

  /** The reservation mode of this node has changed. */
  record KeepingChanged(long at, ReservationMode mode) implements RelayEvent {}

  /** The quota coordinator has answered. */
  record QuotaGranted(long at, QuotaGrant grant) implements RelayEvent {}

  /** The quota coordinator has changed; there may be none. */
  record QuotaCoordinatorChanged(long at) implements RelayEvent {}

  /** The number of nodes that share the slack of the retry budget and the quotas. */
  record NodesCounted(long at, int nodes) implements RelayEvent {}

  /**
   * The number of nodes is not known until {@link NodesListed}: those that were met so far may be a
   * few of many.
   */
  record NodesUnknown(long at) implements RelayEvent {}

  /** The list of all nodes has been read, and {@link NodesCounted} told how many there are. */
  record NodesListed(long at) implements RelayEvent {}

  /** The node drains: pending reservations are refused, so that their callers use another node. */
  record Draining(long at) implements RelayEvent {}

  /** The machine was suspended for some time, which the events' clock includes. */
  record Resumed(long at, long suspendedNanos) implements RelayEvent {}

  /** Reports of other nodes that arrived together. */
  record ReportsHeard(long at, ImmutableList<NodeReport> reports) implements RelayEvent {}

  /** The event loop was held up, so that nothing was read, sent or timed for the given time. */
  record Stalled(long at, long nanos) implements RelayEvent {}

  /**
   * The state of the store was read again since {@code RelayEffect.ConfirmState}.
   *
   * @param at the time at which the state was read
   * @param number the number of the effect
   */
  record StateConfirmed(long at, long number) implements RelayEvent {}

  /**
   * Other nodes have known of a newer configuration for some time that this node has not read, or
   * no longer do.
   */
  record ConfigurationBehind(long at, boolean behind) implements RelayEvent {}

  /** Another node told which build began a stream. */
  record StreamRecorded(long at, StreamBuild stream) implements RelayEvent {}

  /** The answer to {@code RelayEffect.FindStream}. */
  record StreamFound(long at, StreamId stream, StreamFinding finding) implements RelayEvent {}

  /** Another node asks about a stream, and its answer depends on how recent the list is. */
  record ListDoubted(long at) implements RelayEvent {}

  /** The answer to {@code RelayEffect.ConfirmUpstreams}. */
  record UpstreamsConfirmed(long at, long number) implements RelayEvent {}

  /** The store has the builds of a service; it may have more. */
  record BuildsRecorded(long at, ServiceName service, ImmutableSet<BuildName> builds)
      implements RelayEvent {}

  /**
   * The answer to {@code RelayEffect.ReadBuildHistory}.
   *
   * @param number the number of the request
   * @param history the history; empty if it could not be read
   * @param streams the streams that are recorded; their build is unknown if any record says so
   */
  record BuildHistoryRead(
      long at, long number, Optional<BuildHistory> history, ImmutableList<StreamBuild> streams)
      implements RelayEvent {}

  /** Time has passed. */
  record Ticked(long at) implements RelayEvent {}
}
