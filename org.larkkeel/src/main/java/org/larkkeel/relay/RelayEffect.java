/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import java.util.Optional;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.UpstreamLife;
import org.larkkeel.lib.WorkspaceName;

/**
 * What the relay's reducer wants done.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @since 0.1
 */
public sealed interface RelayEffect {
  /** What an attempt is for. */
  sealed interface Purpose {
    /** Run the call; the upstream reads a prompt by itself. */
    record Run() implements Purpose {}

    /**
     * Run the call; the upstream copies what the source still keeps of the prompt and reads the
     * rest.
     */
    record Fetch(RelayUpstream source) implements Purpose {}

    /** Read the prompt only and answer with a handle. */
    record ReadPrompt() implements Purpose {}

    /** Run the call from the prompt that another upstream has read. */
    record TakeOver(RelayUpstream source, String handle) implements Purpose {}

    /** Go on with a run whose memory was copied there from the upstream that ran it before. */
    record Continue(RelayUpstream source, String handle) implements Purpose {}
  }

  /**
   * Send the call to an upstream.
   *
   * @param attempt new
   * @param call the call
   * @param upstream where to
   * @param purpose what for
   * @param until when the upstream may stop, in nanoseconds of the events' clock
   * @param silenceNanos the longest pause within the answer; 0 for no bound
   * @param workspace for whom, as the upstream is told; empty for an anonymous call
   */
  record Send(
      AttemptId attempt,
      RequestId call,
      RelayUpstream upstream,
      Purpose purpose,
      long until,
      long silenceNanos,
      Optional<WorkspaceName> workspace)
      implements RelayEffect {}

  /** Give an attempt up and close its connection; no more is heard of it. */
  record Cancel(AttemptId attempt) implements RelayEffect {}

  /**
   * Copy the memory of a run to another upstream; answered by {@code RelayEvent.Moved}.
   *
   * @param attempt the run
   * @param call whose it is
   * @param source runs it
   * @param destination gets the copy
   * @param step whether the run goes on meanwhile
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

  /** Pass on the stream of the attempt, from what is there on. */
  record Follow(RequestId call, AttemptId attempt) implements RelayEffect {}

  /** Give the caller the whole answer of the attempt, or the end of its stream. */
  record Deliver(RequestId call, AttemptId attempt) implements RelayEffect {}

  /**
   * Answer in place of an upstream.
   *
   * @param call the call
   * @param kind what is wrong
   * @param retryAfterMillis when to come back; 0 if that makes no sense
   * @param detail for people
   */
  record Refuse(RequestId call, ErrorKind kind, long retryAfterMillis, String detail)
      implements RelayEffect {}

  /** Break the caller's stream off, so that it can not look complete. */
  record Cut(RequestId call, ErrorKind kind) implements RelayEffect {}

  /**
   * Tell another node that a call of its has room.
   *
   * @param node who asked
   * @param call its call
   * @param home runs it
   * @param reader reads its prompt; empty if the home does
   */
  record GrantRoom(HostName node, RequestId call, UpstreamLife home, Optional<UpstreamLife> reader)
      implements RelayEffect {}

  /** Find out whether an upstream's process listens; answered by {@code RelayEvent.Probed}. */
  record Probe(RelayUpstream upstream) implements RelayEffect {}

  /** Tell all other nodes what has just become known of a request. */
  record TellSuspect(Suspect suspect) implements RelayEffect {}

  /** Something to log and to count. */
  record Report(RelayFact fact) implements RelayEffect {}
}
