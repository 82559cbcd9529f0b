/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.lib.Fingerprint;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.lib.WorkspaceName;

/**
 * An action that the relay's reducer requests.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @since 0.1
 */
public sealed interface RelayEffect {
  /** The purpose of an attempt. */
  sealed interface Purpose {
    /** Run the call; the upstream prefills the prompt itself. */
    record Run() implements Purpose {}

    /**
     * Run the call; the upstream copies the part of the prompt that the source still holds and
     * prefills the remainder.
     */
    record Fetch(RelayUpstream source) implements Purpose {}

    /** Only prefill the prompt and answer with a handle. */
    record ReadPrompt() implements Purpose {}

    /** Run the call from the prompt that another upstream has prefilled. */
    record TakeOver(RelayUpstream source, String handle) implements Purpose {}

    /** Continue a run from its memory, which was copied from the upstream that ran it before. */
    record Continue(RelayUpstream source, String handle) implements Purpose {}
  }

  /**
   * Send the call to an upstream.
   *
   * @param attempt the id of the new attempt
   * @param call the call
   * @param upstream the destination
   * @param path the path to the destination
   * @param check whether the destination is asked for its incarnation first
   * @param purpose the purpose of the attempt
   * @param deadline the time at which the upstream may stop, in nanoseconds of the events' clock
   * @param idleTimeoutNanos the maximum pause within the answer; 0 for no limit
   * @param workspace the workspace that is named to the upstream; empty for an anonymous call
   */
  record Send(
      AttemptId attempt,
      RequestId call,
      RelayUpstream upstream,
      UpstreamPath path,
      IncarnationCheck check,
      Purpose purpose,
      long deadline,
      long idleTimeoutNanos,
      Optional<WorkspaceName> workspace)
      implements RelayEffect {}

  /** Cancel an attempt and close its connection; no further events of it follow. */
  record Cancel(AttemptId attempt) implements RelayEffect {}

  /**
   * Copy the memory of a run to another upstream. Answered by {@code RelayEvent.Moved}.
   *
   * @param attempt the attempt that runs
   * @param call the call of the attempt
   * @param source the upstream that runs it
   * @param destination the upstream that receives the copy
   * @param step whether the run continues during the copy
   */
  record Move(
      AttemptId attempt,
      RequestId call,
      RelayUpstream source,
      RelayUpstream destination,
      MoveStep step)
      implements RelayEffect {}

  /** Free a prompt or a copy that will not be used. */
  record Free(RelayUpstream source, String handle) implements RelayEffect {}

  /** Forward the stream of the attempt, from the events already received on. */
  record ForwardStream(RequestId call, AttemptId attempt) implements RelayEffect {}

  /** Deliver the complete answer of the attempt, or the end of its stream, to the caller. */
  record Deliver(RequestId call, AttemptId attempt) implements RelayEffect {}

  /**
   * Answer in place of an upstream.
   *
   * @param call the call
   * @param kind the kind of the error
   * @param retryAfterMillis the delay after which the caller should retry; 0 if a retry makes no
   *     sense
   * @param detail a description for people
   */
  record Refuse(RequestId call, ErrorKind kind, long retryAfterMillis, String detail)
      implements RelayEffect {}

  /** Abort the caller's stream in such a way that it can not be taken for complete. */
  record Cut(RequestId call, ErrorKind kind) implements RelayEffect {}

  /**
   * Notify another node that memory is reserved for one of its calls.
   *
   * @param node the node that requested the reservation
   * @param call the call of that node
   * @param reservedUpstream the upstream where the memory is reserved and which will run the call
   * @param prefillUpstream the prefill upstream; empty if the reserved upstream prefills the prompt
   *     itself
   */
  record GrantReservation(
      HostName node,
      RequestId call,
      UpstreamIncarnation reservedUpstream,
      Optional<UpstreamIncarnation> prefillUpstream)
      implements ReservationAnswer {}

  /**
   * Notify another node that one of its calls is rejected.
   *
   * @param node the node that requested the reservation
   * @param call the call of that node
   * @param retryAfterMillis the time after which capacity is forecast for a retry; 0 for none
   */
  record RejectReservation(HostName node, RequestId call, long retryAfterMillis)
      implements ReservationAnswer {}

  /** An answer to the reservation request of another node. */
  sealed interface ReservationAnswer extends RelayEffect
      permits GrantReservation, RejectReservation {
    /** Returns the node that requested the reservation. */
    HostName node();
  }

  /** Probe whether the upstream's process listens. Answered by {@code RelayEvent.Probed}. */
  record Probe(RelayUpstream upstream, UpstreamPath path) implements RelayEffect {}

  /** Report new information about suspects of crashes to other nodes. */
  record ReportSuspects(ImmutableList<CrashSuspect> suspects) implements RelayEffect {}

  /**
   * Store what is known of suspects of crashes, for the nodes that start after all have ended.
   *
   * @param suspects the suspects of which something new is known
   * @param lasting those of them whose crashes or whose clearance must outlast all nodes; what was
   *     stored of the others may be dropped
   */
  record StoreSuspects(ImmutableList<CrashSuspect> suspects, ImmutableSet<Fingerprint> lasting)
      implements RelayEffect {}

  /**
   * Read the state of the store again. Answered by {@code RelayEvent.StateConfirmed}, after the
   * events of what has changed.
   *
   * @param number the number of the request, which grows
   */
  record ConfirmState(long number) implements RelayEffect {}

  /**
   * Read the discovery list again. Answered by {@code RelayEvent.UpstreamsConfirmed}, after the
   * changes that were found; not while the store is unreachable.
   *
   * @param number the number of the request
   */
  record ConfirmUpstreams(long number) implements RelayEffect {}

  /** An effect on the history of builds, which is kept in the store. */
  sealed interface OfBuilds extends RelayEffect {}

  /**
   * Record the builds of a service in the store. Answered by {@code RelayEvent.BuildsRecorded}.
   *
   * @param service the service
   * @param builds the builds that have served within the life of a stream
   * @param complete whether this node knows that no other build has
   * @param awaited whether a build may not begin streams before it is recorded
   */
  record RecordBuilds(
      ServiceName service, ImmutableSet<BuildName> builds, boolean complete, boolean awaited)
      implements OfBuilds {}

  /**
   * Read the history of builds, and the streams that were recorded while there were several.
   * Answered by {@code RelayEvent.BuildHistoryRead}.
   */
  record ReadBuildHistory(long number) implements OfBuilds {}

  /** An effect that concerns the builds of streams, which a few other nodes keep. */
  sealed interface OfStream extends RelayEffect {}

  /** Tell a few other nodes which build began a stream. */
  record RecordStream(StreamBuild stream) implements OfStream {}

  /**
   * Ask the nodes that may keep a stream which build began it. Answered by {@code
   * RelayEvent.StreamFound}.
   */
  record FindStream(StreamId stream, ServiceName service) implements OfStream {}

  /** Log and count a fact. */
  record Report(RelayFact fact) implements RelayEffect {}
}
