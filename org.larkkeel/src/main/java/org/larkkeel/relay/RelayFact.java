/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import java.util.Optional;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.lib.Fingerprint;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.UpstreamLife;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.lib.WorkspaceName;

/**
 * A decision or a change of belief, with the inputs that decided it.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @since 0.1
 */
public sealed interface RelayFact {
  /** A call was admitted under a rule of a revision. */
  record Admitted(
      String call,
      String rule,
      String service,
      String workspace,
      long revision,
      long leftMillis,
      CallSize size,
      boolean resumes)
      implements RelayFact {}

  /**
   * Memory was set aside for a call.
   *
   * @param call what the caller calls it
   * @param upstream where
   * @param units for the call
   * @param load what all nodes have there now, with the call
   * @param memory what the upstream holds
   * @param nodes how many other nodes' loads are known
   * @param waitedNanos how long the call waited for it
   */
  record RoomTaken(
      String call,
      UpstreamName upstream,
      long units,
      long load,
      long memory,
      int nodes,
      long waitedNanos)
      implements RelayFact {}

  /**
   * Room was given to a call of another node.
   *
   * @param call what the caller calls it
   * @param node takes the room
   * @param upstream where
   * @param reader reads its prompt; empty if the upstream does
   * @param units for the call
   * @param load what all nodes have there now, with the call
   * @param memory what the upstream holds
   * @param waitedNanos how long the call waited for it
   */
  record RoomGiven(
      String call,
      HostName node,
      UpstreamName upstream,
      String reader,
      long units,
      long load,
      long memory,
      long waitedNanos)
      implements RelayFact {}

  /** The first event of a stream is on its way to the caller. */
  record Began(String call, AttemptId attempt, UpstreamName upstream, long nanos)
      implements RelayFact {}

  /** A call waits for room. */
  record Waiting(String call, String service, long need, int waiting) implements RelayFact {}

  /**
   * An attempt was placed.
   *
   * @param call what the caller calls it
   * @param attempt the attempt
   * @param purpose what for
   * @param upstream where to
   * @param cost the estimate that decided
   * @param runnerUp the next best; empty if there was none
   * @param runnerUpCost its estimate
   * @param sends which send of the call this is, from 1
   * @param candidates how many could have been chosen
   */
  record Placed(
      String call,
      AttemptId attempt,
      String purpose,
      UpstreamName upstream,
      double cost,
      String runnerUp,
      double runnerUpCost,
      int sends,
      int candidates)
      implements RelayFact {}

  /** An attempt ended without a usable answer. */
  record AttemptFailed(
      String call, AttemptId attempt, UpstreamName upstream, String cause, boolean mayHaveRun)
      implements RelayFact {}

  /**
   * The connection of an attempt broke while its upstream had it.
   *
   * @param call what the caller calls it
   * @param attempt the attempt
   * @param upstream where it was
   * @param request the same for all calls that are the same request
   * @param sentNanos how long ago it was sent
   * @param begunNanos how long ago its first event came; negative if none had
   * @param others attempts that this node still has there
   */
  record AttemptBroken(
      String call,
      AttemptId attempt,
      UpstreamLife upstream,
      Fingerprint request,
      long sentNanos,
      long begunNanos,
      int others)
      implements RelayFact {}

  /**
   * An upstream is proven to have ended while it had requests of this node.
   *
   * @param upstream which life
   * @param proof what shows it
   * @param requests how many requests may have been the cause
   */
  record UpstreamEnded(UpstreamLife upstream, String proof, int requests) implements RelayFact {}

  /**
   * A request is suspected to end upstreams.
   *
   * @param request which
   * @param ends how many have ended under it
   * @param remainingNanos for how long it is quarantined; 0 if it is not
   * @param source who has found out: this node or another
   */
  record Suspected(Fingerprint request, int ends, long remainingNanos, String source)
      implements RelayFact {}

  /**
   * A call was not sent, as its request is quarantined.
   *
   * @param call what the caller calls it
   * @param request which request it is
   * @param ends how many upstreams have ended under it
   * @param remainingNanos for how long it is quarantined still
   */
  record Quarantined(String call, Fingerprint request, int ends, long remainingNanos)
      implements RelayFact {}

  /** A request counts as harmless: it was answered, or an operator has released it. */
  record Cleared(Fingerprint request, String cause) implements RelayFact {}

  /** A prompt was read. */
  record PromptRead(String call, AttemptId attempt, UpstreamName upstream, long nanos)
      implements RelayFact {}

  /**
   * A step of a run's move to another upstream is done, or was not.
   *
   * @param call what the caller calls it
   * @param attempt the run
   * @param from where it ran
   * @param to where its memory is copied
   * @param step the step
   * @param result what came of it
   */
  record RunMoved(
      String call,
      AttemptId attempt,
      UpstreamName from,
      UpstreamName to,
      MoveStep step,
      MoveResult result)
      implements RelayFact {}

  /** A prompt was read in vain. */
  record PromptWasted(String call, UpstreamName upstream, int tokens) implements RelayFact {}

  /** The caller got an upstream's answer. */
  record Answered(
      String call,
      AttemptId attempt,
      UpstreamName upstream,
      String rule,
      AnswerGrade grade,
      long firstNanos,
      long nanos,
      boolean onTarget)
      implements RelayFact {}

  /** The caller was refused or cut off. */
  record Refused(
      String call,
      String rule,
      ErrorKind kind,
      String detail,
      boolean began,
      int sends,
      int runs,
      long nanos)
      implements RelayFact {}

  /**
   * It was decided whether a call is within its workspace's quota.
   *
   * @param call what the caller calls it
   * @param workspace whose quota
   * @param revision of the configuration that has the quota
   * @param tokens that the call takes
   * @param outcome what was decided
   * @param left the tokens that this node holds then; less than 0 for a debt
   * @param ageNanos how old the coordinator's last word is
   * @param waitNanos when a refused call may come back; 0 if never
   */
  record QuotaDecided(
      String call,
      WorkspaceName workspace,
      long revision,
      long tokens,
      QuotaOutcome outcome,
      long left,
      long ageNanos,
      long waitNanos)
      implements RelayFact {}

  /** The caller left. */
  record CallerLeft(String call, String rule, long nanos) implements RelayFact {}

  /**
   * An attempt was given up by this node, whose upstream may be at work on it.
   *
   * @param progress how far it had come, which tells what the upstream can have begun
   * @param nanos since it was placed
   */
  record Cancelled(String call, AttemptId attempt, AttemptProgress progress, long nanos)
      implements RelayFact {}

  /** A repeat was not made because the budget is used up. */
  record BudgetSpent(String call, String service, int used, double allowed) implements RelayFact {}

  /**
   * An upstream appeared, changed, started again or went.
   *
   * @param life of which life of it this is true; the later one if it started again
   * @param service its service
   * @param address its address
   * @param change what happened to it
   */
  record UpstreamChanged(UpstreamLife life, String service, String address, String change)
      implements RelayFact {}

  /** An upstream wants no requests of this node for a while. */
  record Rests(UpstreamName upstream, long forNanos) implements RelayFact {}

  /**
   * A call waits, as the limits of all its upstreams are used up.
   *
   * @param call what the caller calls it
   * @param service whose upstreams
   * @param longestNanos for how long at the most
   */
  record PermitAwaited(String call, String service, long longestNanos) implements RelayFact {}

  /**
   * The limit of the requests that an upstream takes has changed, as far as is known here.
   *
   * @param upstream whose
   * @param change how
   * @param before the limit of before; empty for none
   * @param now the limit; empty for none
   * @param source what has shown it: an answer, or another node
   * @param ageNanos how long ago the request was sent whose answer has shown it, at the most
   */
  record RateLimit(
      UpstreamLife upstream,
      RateChange change,
      Optional<RequestRate> before,
      Optional<RequestRate> now,
      String source,
      long ageNanos)
      implements RelayFact {}

  /** An upstream is avoided for a while. */
  record Ejected(UpstreamName upstream, String cause, long forNanos) implements RelayFact {}

  /** An upstream that was avoided answered well. */
  record Restored(UpstreamName upstream) implements RelayFact {}

  /** The machine was suspended; what was due meanwhile is over. */
  record Resumed(long suspendedNanos) implements RelayFact {}

  /** A configuration is in force. */
  record InForce(long revision, long before, int rules) implements RelayFact {}

  /** A configuration that is older than that in force was not taken. */
  record Stale(long revision, long inForce) implements RelayFact {}
}
