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
import org.larkkeel.event.FailureCause;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.lib.Fingerprint;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.UpstreamLife;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.quota.QuotaGrant;

/**
 * What the relay's reducer is told. Each carries the time at which it happened, in nanoseconds of a
 * steady clock.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @since 0.1
 */
public sealed interface RelayEvent {
  /** When it happened. */
  long at();

  /** What concerns one attempt. Those of attempts that are over are ignored. */
  sealed interface OfAttempt extends RelayEvent {
    /** The attempt. */
    AttemptId attempt();
  }

  /** A caller's request is read whole. */
  record Arrived(long at, RelayCall call) implements RelayEvent {}

  /** The caller has closed its connection. */
  record CallerLeft(long at, RequestId call) implements RelayEvent {}

  /** A prefill upstream has read the prompt; others fetch the result by the handle. */
  record PromptRead(long at, AttemptId attempt, String handle) implements OfAttempt {}

  /** The first event of a good stream is there. */
  record Began(long at, AttemptId attempt) implements OfAttempt {}

  /** The caller was passed so many whole events of the attempt since it was told last. */
  record Progressed(long at, AttemptId attempt, int events) implements OfAttempt {}

  /** The answer is there, whole. */
  record Answered(long at, AttemptId attempt, AnswerGrade grade) implements OfAttempt {}

  /** The attempt has not run and never will. */
  record Refused(long at, AttemptId attempt, RefusalCause cause) implements OfAttempt {}

  /** The attempt may have run, and its answer can not be had whole. */
  record Lost(long at, AttemptId attempt, FailureCause cause) implements OfAttempt {}

  /**
   * The answer to {@code RelayEffect.Move}.
   *
   * @param at when it came
   * @param attempt the run that moves
   * @param result what came of it
   */
  record Moved(long at, AttemptId attempt, MoveResult result) implements OfAttempt {}

  /**
   * By what the list of upstreams differs from what was told before.
   *
   * @param at when it was read
   * @param changed upstreams that are new or differ, by name
   * @param removed names that are no longer on the list
   */
  record UpstreamsChanged(
      long at,
      ImmutableMap<UpstreamName, RelayUpstream> changed,
      ImmutableSet<UpstreamName> removed)
      implements RelayEvent {}

  /**
   * This node orders an upstream to take another part of the work; it takes none until its stage
   * has changed.
   *
   * @param at now
   * @param upstream is ordered
   * @param longestNanos for how long at most
   */
  record Ordered(long at, UpstreamLife upstream, long longestNanos) implements RelayEvent {}

  /** An order was turned down, so that the upstream goes on as before. */
  record OrderRefused(long at, UpstreamLife upstream) implements RelayEvent {}

  /** A configuration was read; older ones than that in force are ignored. */
  record ConfigurationRead(long at, RelayConfiguration configuration) implements RelayEvent {}

  /**
   * What another node tells.
   *
   * @param at when it was heard
   * @param node who tells
   * @param loads what it has in flight at upstreams, in the units of {@code RelayRouter.loads}
   * @param lapsing the upstreams whose prompts it found to be lost at once
   */
  record LoadHeard(
      long at,
      HostName node,
      ImmutableMap<UpstreamLife, Long> loads,
      ImmutableSet<UpstreamLife> lapsing)
      implements RelayEvent {}

  /**
   * All calls for which another node asks this one for room.
   *
   * @param at when it was heard
   * @param node who asks
   * @param place its data centre
   * @param asks the calls
   */
  record RoomAsked(long at, HostName node, DataCentreName place, ImmutableList<RoomAsk> asks)
      implements RelayEvent {}

  /**
   * The node that gives room has given it to a call of this one.
   *
   * @param at when it was heard
   * @param call the call
   * @param home runs it
   * @param reader reads its prompt; empty if the home does
   */
  record RoomGranted(long at, RequestId call, UpstreamLife home, Optional<UpstreamLife> reader)
      implements RelayEvent {}

  /**
   * An answer of an upstream says something of the upstream itself.
   *
   * @param at when it was received
   * @param upstream the life that was asked
   * @param sentAt when its request was sent: what it says is not older
   * @param notice what it says
   */
  record Noticed(long at, UpstreamLife upstream, long sentAt, UpstreamNotice notice)
      implements RelayEvent {}

  /** What another node tells of the limits of upstreams. */
  record RatesHeard(long at, ImmutableList<RateWord> words) implements RelayEvent {}

  /** The answer to {@code RelayEffect.Probe}. */
  record Probed(long at, UpstreamLife upstream, ProbeResult result) implements RelayEvent {}

  /** What another node knows of requests under which upstreams ended. */
  record SuspectsHeard(long at, ImmutableList<Suspect> suspects) implements RelayEvent {}

  /** An operator lets a request be sent again. */
  record Released(long at, Fingerprint request) implements RelayEvent {}

  /** Who gives room from now on. */
  record KeepingChanged(long at, RoomKeeping keeping) implements RelayEvent {}

  /** The coordinator of quotas has answered. */
  record QuotaGranted(long at, QuotaGrant grant) implements RelayEvent {}

  /** Another node, or none, is the coordinator of quotas from now on. */
  record QuotaCoordinatorChanged(long at) implements RelayEvent {}

  /** How many nodes share the budget of repeats. */
  record NodesCounted(long at, int nodes) implements RelayEvent {}

  /** The node is to stop: what waits for room goes elsewhere. */
  record Draining(long at) implements RelayEvent {}

  /** The machine was suspended for some time, which the events' clock counts. */
  record Resumed(long at, long suspendedNanos) implements RelayEvent {}

  /** Time has passed. */
  record Ticked(long at) implements RelayEvent {}
}
