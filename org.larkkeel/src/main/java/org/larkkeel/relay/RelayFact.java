/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.larkkeel.balance.SampleResult;
import org.larkkeel.balance.SpeedSample;
import org.larkkeel.balance.WorkKind;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.lib.Fingerprint;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.lib.WorkspaceName;
import org.larkkeel.overload.GatheredCapacity;

/**
 * A decision or a change of the known state, with the inputs that led to it.
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
      CallRank rank,
      long revision,
      long leftMillis,
      CallSize size,
      boolean resumes,
      Optional<StreamId> resumedStream)
      implements RelayFact {}

  /**
   * Memory was reserved for a call.
   *
   * @param call the caller's id of the call
   * @param upstream the upstream where the memory is reserved
   * @param units the reserved tokens
   * @param load the total load of the upstream over all nodes, including the call
   * @param memory the memory capacity of the upstream
   * @param nodes the number of other nodes whose loads are known
   * @param waitedNanos the time for which the reservation was pending
   */
  record ReservationMade(
      String call,
      UpstreamName upstream,
      long units,
      long load,
      long memory,
      int nodes,
      long waitedNanos)
      implements RelayFact {}

  /**
   * Memory was reserved for a call of another node.
   *
   * @param call the caller's id of the call
   * @param node the node of the call
   * @param rank the rank of the call
   * @param workspace the workspace of the call, empty if it is anonymous or unknown
   * @param upstream the upstream where the memory is reserved
   * @param prefillUpstream the prefill upstream; empty if the reserved upstream prefills the prompt
   *     itself
   * @param units the reserved tokens
   * @param load the total load of the upstream over all nodes, including the call
   * @param memory the memory capacity of the upstream
   * @param waitedNanos the time for which the reservation was pending
   */
  record ReservationGranted(
      String call,
      HostName node,
      CallRank rank,
      String workspace,
      UpstreamName upstream,
      String prefillUpstream,
      long units,
      long load,
      long memory,
      long waitedNanos)
      implements RelayFact {}

  /** The first event of a stream is being forwarded to the caller. */
  record Began(String call, AttemptId attempt, UpstreamName upstream, BuildName build, long nanos)
      implements RelayFact {}

  /** A call waits for a memory reservation. */
  record Waiting(String call, String service, CallRank rank, long units, int waiting)
      implements RelayFact {}

  /**
   * A call that may have run continues to wait for a reservation after its maximum wait, as it is
   * not sent without one.
   *
   * @param call the caller's id of the call
   * @param service the service of the engines
   * @param units the tokens that it needs
   * @param waitedNanos the time since the call arrived
   */
  record WaitContinued(String call, String service, long units, long waitedNanos)
      implements RelayFact {}

  /**
   * An engine was dedicated to a call that fits at none.
   *
   * @param call the caller's id of the call
   * @param service the service of the engine
   * @param rank the rank of the call
   * @param upstream the engine
   * @param free the free capacity of the engine, in tokens
   * @param dedicated the number of engines of the service that are dedicated now
   */
  record EngineDedicated(
      String call, String service, CallRank rank, UpstreamName upstream, long free, int dedicated)
      implements RelayFact {}

  /**
   * The dedication of an engine to a call ended.
   *
   * @param call the caller's id of the call
   * @param service the service of the engine
   * @param upstream the engine
   * @param reason the reason of the end
   * @param nanos the duration of the dedication
   */
  record DedicationEnded(
      String call,
      String service,
      UpstreamName upstream,
      GatheredCapacity.EndReason reason,
      long nanos)
      implements RelayFact {}

  /**
   * A decision about a call that found no free capacity, on a forecast of its wait.
   *
   * @param call the caller's id of the call
   * @param service the service
   * @param rank the rank of the call
   * @param decision the decision
   * @param forecastNanos the forecast time until its reservation
   * @param marginNanos the margin that was added to the forecast
   * @param retryAfterMillis the time after which capacity is forecast for a retry; 0 for none
   */
  record OverloadDecided(
      String call,
      String service,
      String rank,
      Decision decision,
      long forecastNanos,
      long marginNanos,
      long retryAfterMillis)
      implements RelayFact {
    /** What is done with the call. */
    public enum Decision {
      /** It waits and is forecast to meet its target. */
      WAIT,
      /** It waits although it misses its target. */
      BACKLOG,
      /** It is rejected. */
      REJECT
    }
  }

  /**
   * A change of a promise to the caller of a rejected call.
   *
   * @param call the caller's id of the call
   * @param service the service
   * @param change the change
   */
  record ReturnPromise(String call, String service, Change change) implements RelayFact {
    /** The changes of a promise. */
    public enum Change {
      /** The caller was told to return. */
      PROMISED,
      /** The caller returned on time. */
      RETURNED,
      /** The call that returned on time got its reservation. */
      SERVED
    }
  }

  /**
   * An attempt was placed.
   *
   * @param call the caller's id of the call
   * @param attempt the attempt
   * @param purpose the purpose of the attempt
   * @param upstream the chosen upstream
   * @param build the build of the upstream by its entry
   * @param streamBuild the build that began the stream of the call; empty if it has not begun
   * @param path the path to the upstream
   * @param cost the estimated cost of the chosen upstream
   * @param runnerUp the second-best upstream; empty if there was none
   * @param runnerUpCost the estimated cost of the second-best upstream
   * @param attemptNumber the number of the attempt within its call, from 1
   * @param candidates the number of upstreams that could have been chosen
   */
  record Placed(
      String call,
      AttemptId attempt,
      String purpose,
      UpstreamIncarnation upstream,
      BuildName build,
      Optional<BuildName> streamBuild,
      UpstreamPath path,
      double cost,
      String runnerUp,
      double runnerUpCost,
      int attemptNumber,
      int candidates)
      implements RelayFact {}

  /**
   * An upstream was asked for its incarnation before an attempt was sent.
   *
   * @param call the caller's id of the call
   * @param attempt the attempt
   * @param upstream the listed incarnation
   * @param check what was asked for
   * @param answer the answer of the upstream
   * @param nanos the time until the answer, or until the wait for it ended
   */
  record IncarnationChecked(
      String call,
      AttemptId attempt,
      UpstreamIncarnation upstream,
      IncarnationCheck check,
      IncarnationAnswer answer,
      long nanos)
      implements RelayFact {}

  /**
   * The upstream of a stream restarted as another build, and either may have written the stream.
   *
   * @param call the caller's id of the call
   * @param attempt the attempt
   * @param upstream the incarnation that was listed
   * @param startedNanos the time since the start of the next incarnation, as far as is known
   * @param begunNanos the time since the first event of the attempt
   * @param silentNanos the time since its last event
   */
  record WriterUnknown(
      String call,
      AttemptId attempt,
      UpstreamIncarnation upstream,
      long startedNanos,
      long begunNanos,
      long silentNanos)
      implements RelayFact {}

  /** An attempt ended without a usable answer. */
  record AttemptFailed(
      String call, AttemptId attempt, UpstreamName upstream, String cause, boolean mayHaveRun)
      implements RelayFact {}

  /**
   * The connection of an attempt broke while the upstream was processing the attempt.
   *
   * @param call the caller's id of the call
   * @param attempt the attempt
   * @param upstream the incarnation that had the attempt
   * @param request the fingerprint, equal for all calls of the same request
   * @param parts the fingerprints of the first parts of its prompt that other requests may share,
   *     equal for all calls of the same service with such a part
   * @param sends the number of upstreams to which the call has been sent, this one included
   * @param sinceSentNanos the time since the attempt was sent
   * @param sinceFirstEventNanos the time since its first event was received; negative if none was
   *     received
   * @param otherAttempts the number of other attempts that this node has in progress at the
   *     upstream
   */
  record AttemptBroken(
      String call,
      AttemptId attempt,
      UpstreamIncarnation upstream,
      Fingerprint request,
      ImmutableList<Fingerprint> parts,
      int sends,
      long sinceSentNanos,
      long sinceFirstEventNanos,
      int otherAttempts)
      implements RelayFact {}

  /** An upstream was probed for whether its process listens. */
  record Probed(UpstreamIncarnation upstream, UpstreamPath path, ProbeResult result)
      implements RelayFact {}

  /**
   * The path of this node to an upstream has changed.
   *
   * @param upstream the upstream
   * @param service the service of the upstream
   * @param change the change
   * @param cause the event that caused it
   */
  record PathChanged(UpstreamName upstream, String service, Change change, String cause)
      implements RelayFact {
    /** The changes of a path. */
    public enum Change {
      /** Direct connections fail; a tunnel is probed. */
      LOST,
      /** Requests are sent by tunnels. */
      TUNNELLED,
      /** No node reaches the upstream; it is ejected. */
      UNREACHABLE,
      /** Direct connections work again. */
      RESTORED
    }
  }

  /**
   * An upstream is proven to have crashed while it had requests of this node.
   *
   * @param upstream the incarnation that ended
   * @param proof the evidence of the crash
   * @param requests the number of requests that may have caused it
   */
  record UpstreamEnded(UpstreamIncarnation upstream, String proof, int requests)
      implements RelayFact {}

  /**
   * A request or a part of prompts is suspected of crashing upstreams.
   *
   * @param suspect the fingerprint of the request or part
   * @param scope what it is
   * @param crashes the number of upstreams that have crashed while they had it
   * @param remainingNanos the remaining time of the quarantine; 0 if it is not quarantined
   * @param source the node that detected it: this node or another
   */
  record Suspected(
      Fingerprint suspect, SuspectScope scope, int crashes, long remainingNanos, String source)
      implements RelayFact {}

  /**
   * A call was not sent because its request or a part of its prompt is quarantined.
   *
   * @param call the caller's id of the call
   * @param suspect the fingerprint of the request or part
   * @param scope what it is
   * @param crashes the number of upstreams that have crashed while they had it
   * @param remainingNanos the remaining time of the quarantine
   */
  record Quarantined(
      String call, Fingerprint suspect, SuspectScope scope, int crashes, long remainingNanos)
      implements RelayFact {}

  /** A request or part was proven harmless by an answer, or an operator released it. */
  record Cleared(Fingerprint suspect, SuspectScope scope, String cause) implements RelayFact {}

  /** A prompt was prefilled. */
  record PromptRead(String call, AttemptId attempt, UpstreamName upstream, long nanos)
      implements RelayFact {}

  /**
   * A step of moving a run succeeded or failed.
   *
   * @param call the caller's id of the call
   * @param attempt the attempt that is being moved
   * @param from the upstream that runs it
   * @param to the upstream that receives the copy
   * @param step the step
   * @param result the result of the step
   */
  record RunMoved(
      String call,
      AttemptId attempt,
      UpstreamName from,
      UpstreamName to,
      MoveStep step,
      MoveResult result)
      implements RelayFact {}

  /** A prefilled prompt was not used. */
  record PromptWasted(String call, UpstreamName upstream, int tokens) implements RelayFact {}

  /** The caller received the answer of an upstream. */
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

  /** The call was refused, or the caller's stream was aborted. */
  record Refused(
      String call,
      String rule,
      ErrorKind kind,
      String detail,
      boolean streaming,
      int attempts,
      int runs,
      long nanos)
      implements RelayFact {}

  /**
   * The quota of the workspace was applied to a call.
   *
   * @param call the caller's id of the call
   * @param workspace the workspace of the quota
   * @param revision the configuration revision that defines the quota
   * @param tokens the tokens that the call takes
   * @param outcome the decision
   * @param tokensLeft the tokens that this node holds afterwards; negative for a debt
   * @param ageNanos the time since the coordinator's last answer
   * @param waitNanos the delay after which a refused call may be retried; 0 if a retry can never
   *     succeed
   */
  record QuotaDecided(
      String call,
      WorkspaceName workspace,
      long revision,
      long tokens,
      QuotaOutcome outcome,
      long tokensLeft,
      long ageNanos,
      long waitNanos)
      implements RelayFact {}

  /**
   * Calls were refused by their heads since the last report, as the quota of their workspace was
   * known to be used up.
   *
   * @param workspace the workspace of the quota
   * @param calls the number of calls
   * @param tokens the tokens that they would have taken
   */
  record QuotaRefusedEarly(WorkspaceName workspace, long calls, long tokens) implements RelayFact {}

  /** The caller closed its connection. */
  record CallerLeft(String call, String rule, long nanos) implements RelayFact {}

  /**
   * The head of an answer that is not a success, and the connection on which it was read.
   *
   * @param echo whose id the answer echoes
   * @param localPort the local port of the connection
   * @param requestNumber the number of the request on the connection, from 1
   * @param idleNanos the time from the end of the previous request on the connection to the sending
   *     of this one; 0 for the first
   * @param sentNanos the time since the request was sent
   */
  record AnswerHead(
      String call,
      AttemptId attempt,
      UpstreamName upstream,
      int status,
      AnswerEcho echo,
      int localPort,
      int requestNumber,
      long idleNanos,
      long sentNanos)
      implements RelayFact {}

  /**
   * An answer ended with its connection, or broke off after its head.
   *
   * @param path the path by which the request was sent
   * @param remote the address and port of the other end of the connection: of the upstream, or of
   *     the node that carries the tunnel
   * @param framing the framing of the answer
   * @param bytes the number of bytes of the body that were read
   * @param end how the answer ended
   * @param sentNanos the time since the request was sent
   */
  record AnswerEnded(
      String call,
      AttemptId attempt,
      UpstreamName upstream,
      UpstreamPath path,
      String remote,
      AnswerFraming framing,
      long bytes,
      AnswerEnd end,
      long sentNanos)
      implements RelayFact {}

  /**
   * This node cancelled an attempt, which the upstream may be processing.
   *
   * @param progress the progress of the attempt, which shows what the upstream can have started
   * @param nanos the time since the attempt was placed
   */
  record Cancelled(String call, AttemptId attempt, AttemptProgress progress, long nanos)
      implements RelayFact {}

  /**
   * This node suspects a reservation coordinator, and requests reservations from its successor
   * until it receives a message from it.
   *
   * @param coordinator the address of the node
   * @param cause why the coordinator is suspected
   * @param waitedNanos the time without an answer; 0 if another node noticed
   * @param answerNanos the smoothed answer time; 0 if none was measured
   * @param limitNanos the maximum time without an answer; 0 if another node noticed
   */
  record CoordinatorSuspected(
      String coordinator, String cause, long waitedNanos, long answerNanos, long limitNanos)
      implements RelayFact {}

  /** The reservation coordinator answered a report of this node after {@code nanos}. */
  record CoordinatorAnswered(long nanos) implements RelayFact {}

  /**
   * Calls that arrived while the state of the store was in doubt were admitted.
   *
   * @param calls the number of calls
   * @param longestNanos the time since the arrival of the first of them
   */
  record HeldCallsAdmitted(int calls, long longestNanos) implements RelayFact {}

  /**
   * A retry was not made because the retry budget is used up.
   *
   * @param call the caller's id of the call
   * @param service the service
   * @param used the retries of this node in the window that ends now, and those that may yet arrive
   * @param allowed the retries that its part of the budget allows in that window
   * @param left the retries that every window including the present still allows, less than 1
   * @param nodes the number of nodes that share the slack; 0 if unknown
   */
  record BudgetSpent(String call, String service, int used, double allowed, double left, int nodes)
      implements RelayFact {}

  /**
   * A retry was made.
   *
   * @param service the service
   * @param used the retries of this node in the window that ends now, and those that may yet arrive
   * @param allowed the retries that its part of the budget allows in that window
   */
  record BudgetUsed(String service, int used, double allowed) implements RelayFact {}

  /**
   * An upstream was added, changed, restarted or removed.
   *
   * @param upstream the incarnation of the upstream; after a restart the new one
   * @param service the service of the upstream
   * @param address the address of the upstream
   * @param change the kind of the change
   */
  record UpstreamChanged(
      UpstreamIncarnation upstream, String service, String address, String change)
      implements RelayFact {}

  /** An upstream asked this node to send no requests for a time. */
  record BackoffRequested(UpstreamName upstream, long forNanos) implements RelayFact {}

  /**
   * A call waits because the rate limits of all its upstreams are used up.
   *
   * @param call the caller's id of the call
   * @param service the service of the upstreams
   * @param maxWaitNanos the maximum time for which the call waits
   */
  record PermitAwaited(String call, String service, long maxWaitNanos) implements RelayFact {}

  /**
   * The known limit on the request rate of an upstream has changed.
   *
   * @param upstream the incarnation of the upstream
   * @param change the kind of the change
   * @param before the previous limit; empty for none
   * @param now the new limit; empty for none
   * @param source the origin of the information: an answer, or another node
   * @param ageNanos an upper bound of the time since the request was sent whose answer announced
   *     the limit
   */
  record RateLimit(
      UpstreamIncarnation upstream,
      RateLimitChange change,
      Optional<RequestRate> before,
      Optional<RequestRate> now,
      String source,
      long ageNanos)
      implements RelayFact {}

  /** A measurement of an engine, by this node or another one, was dropped as invalid. */
  record SpeedSampleDropped(SpeedSample sample, SampleResult result) implements RelayFact {}

  /**
   * The speeds of the engines of a service begin or cease to be used.
   *
   * @param service the service
   * @param kind the kind of work
   * @param used whether they are used from now on
   * @param spread the factor between the fastest and the slowest engine
   * @param measured the number of engines whose speed is known
   */
  record SpeedsChanged(String service, WorkKind kind, boolean used, double spread, int measured)
      implements RelayFact {}

  /** A new engine of a service with uneven speeds takes only a share of its memory at first. */
  record SlowStartBegan(UpstreamIncarnation upstream, String service) implements RelayFact {}

  /** An upstream was ejected for a time. */
  record Ejected(UpstreamName upstream, String cause, long forNanos) implements RelayFact {}

  /** An ejected upstream was restored because it answered successfully. */
  record Restored(UpstreamName upstream) implements RelayFact {}

  /** The machine was suspended; timers that expired during the suspension have fired. */
  record Resumed(long suspendedNanos) implements RelayFact {}

  /** The event loop was held up for the given time. */
  record LoopStalled(long nanos) implements RelayFact {}

  /** What was read from the store may be outdated, so that no call is admitted by it. */
  record StateDoubted(Cause cause) implements RelayFact {
    /** Why the state is in doubt. */
    public enum Cause {
      /** The event loop was held up. */
      STALLED,

      /** Other nodes know of a newer configuration. */
      BEHIND
    }
  }

  /** Calls are admitted again after a doubt, because it was resolved or lasted too long. */
  record StateTrusted(Result result, long nanos) implements RelayFact {
    /** How a doubt ended. */
    public enum Result {
      /** The state was read again, or the newer configuration was. */
      CONFIRMED,

      /** The store has not answered in time; the last state that was read is used. */
      TIMED_OUT
    }
  }

  /**
   * It was decided where a stream that a caller takes up may go on.
   *
   * @param call the caller's id of the call
   * @param stream the stream
   * @param source how its build is known
   * @param build the build; {@link BuildName#UNKNOWN} if it is not known
   * @param witness what shows that the list is complete; {@link ListWitness#NONE} if it does not
   *     matter
   * @param listAgeNanos the time since this node last read the list from the store as current;
   *     negative if it never has
   * @param own what this node knew by itself
   * @param followedNanos the time for which this node has followed the builds of the service;
   *     negative if it knows none
   * @param peers the strongest answer of another node; empty if none has answered
   * @param answered the nodes that have answered, separated by commas
   * @param nanos the time until the decision
   */
  record StreamResolved(
      String call,
      String stream,
      Source source,
      BuildName build,
      ListWitness witness,
      long listAgeNanos,
      StreamLookup own,
      long followedNanos,
      Optional<StreamLookup> peers,
      String answered,
      long nanos)
      implements RelayFact {
    /** How the build of a stream is known. */
    public enum Source {
      /** This node passed its first event on, or was told of it. */
      OWN,

      /** Another node was asked. */
      PEER,

      /** It was recorded in the store while there were several builds. */
      STORE,

      /** No other build has served. */
      SOLE,

      /** Several builds have served, and nobody knows it. */
      UNKNOWN,

      /** Nobody knows it, and the only known build may not be the only one. */
      OUTDATED,

      /** Nobody knows it, nor which builds have served before the nodes started. */
      NO_HISTORY
    }
  }

  /** One turn of reading messages of other nodes took longer than it should. */
  record MessagesHeldLoop(int messages, long nanos) implements RelayFact {}

  /** A configuration came into force. */
  record InForce(long revision, long before, int rules) implements RelayFact {}

  /** A configuration was ignored because it is older than the one in force. */
  record Stale(long revision, long inForce) implements RelayFact {}
}
