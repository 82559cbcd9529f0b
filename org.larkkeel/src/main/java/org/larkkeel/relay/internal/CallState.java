/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.Collection;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.lib.WorkspaceName;
import org.larkkeel.overload.CallLimits;
import org.larkkeel.quota.QuotaKey;
import org.larkkeel.relay.BuildName;
import org.larkkeel.relay.CallRank;
import org.larkkeel.relay.RelayCall;
import org.larkkeel.relay.RelayEffect.Purpose;
import org.larkkeel.relay.RelayRule;
import org.larkkeel.relay.RelayWorkspace;
import org.larkkeel.relay.RequestTerms;
import org.larkkeel.relay.ServiceName;

/**
 * The state of one call from its admission to its final answer.
 *
 * <p>Invariant: at most one attempt is in flight. Not thread-safe.
 */
final class CallState implements PendingReservation {
  /**
   * A call with less than this share of the rule's timeout left is taken for a caller's retry of a
   * refused call.
   */
  private static final double FIRST_TRY_SHARE = 0.97;

  private static final long MILLI = 1_000_000L;

  final RelayCall call;
  final RelayRule rule;
  final ServiceName service;
  final long arrivedAt;
  final long deadline;

  /** The workspace of the call; empty for an anonymous call. */
  Optional<RelayWorkspace> workspace = Optional.empty();

  /** The rank of the call by the configuration in force. */
  CallRank rank = CallRank.LOWEST;

  /**
   * The workspace by the configuration in force, in whose name the call waits; {@link #workspace}
   * is the one by which it was last sent.
   */
  Optional<WorkspaceName> rankedWorkspace = Optional.empty();

  /** The units that the call needed when it last began to wait. */
  long waitingUnits;

  /** The quota from which the call takes tokens; null if there is none. */
  QuotaKey.OfWorkspace quotaKey;

  /** The number of quota tokens that the call takes. */
  long quotaTokens;

  /** True while the call waits for quota tokens. */
  boolean awaitsQuota;

  /** True while the call holds its quota tokens. */
  boolean holdsQuota;

  /** True while the call waits for a permit for one of its upstreams. */
  boolean awaitsPermit;

  /** The time until which the call waits for a permit. */
  long permitWaitUntil;

  /**
   * The build of upstreams that began the stream of the call; null if it has not begun, and {@link
   * BuildName#UNKNOWN} if no upstream names a build or several builds may have begun it.
   */
  BuildName build;

  /** The upstreams to which the call is not sent again, whatever their builds. */
  final Set<UpstreamIncarnation> excluded = new HashSet<>();

  /** Those of {@link #excluded} that become eligible again once a path to them is found. */
  final Set<UpstreamIncarnation> excludedForPath = new HashSet<>();

  /** The attempt in flight; null if there is none. */
  AttemptState attempt;

  /**
   * The time of the first event of the attempt in flight; {@link Long#MIN_VALUE} before that event.
   */
  long attemptFirstEventAt = Long.MIN_VALUE;

  /**
   * The time of the last event of the attempt in flight; {@link Long#MIN_VALUE} before its first.
   */
  long lastEventAt = Long.MIN_VALUE;

  /**
   * True if the next incarnation of its upstream may write the stream of the attempt in flight, so
   * that the attempt does not end with its incarnation.
   */
  boolean mayBeOfNextIncarnation;

  /** The pace of the stream of the attempt in flight. */
  final RunPace pace = new RunPace();

  /** The upstream at which memory is reserved for the call; null if there is none. */
  UpstreamState reservedUpstream;

  /** The number of tokens that are reserved there. */
  long reservedUnits;

  /** The number of tokens generated for the call. */
  long generatedTokens;

  /** True while the call waits for a reservation. */
  boolean awaitsReservation;

  /**
   * The prefilled prompt that another upstream can take over; null before the prefill and after its
   * use.
   */
  Purpose.TakeOver prefilledPrompt;

  /** The upstream that prefilled the prompt; null if none has. */
  UpstreamIncarnation prefillUpstream;

  /** The upstream that may have lost the call's prefilled prompt; null if none may. */
  UpstreamIncarnation suspectUpstream;

  /** The number of upstreams that declined the prefilled prompt. */
  int promptDeclines;

  /** The number of all attempts. */
  int attemptCount;

  /**
   * The number of attempts that count as arrivals at an upstream; if there was one, the next
   * attempt is a retry.
   */
  int arrivalCount;

  /** True once an upstream has prefilled the prompt; only that prefill counts as no arrival. */
  boolean hadPrefill;

  /** The number of attempts that have run or may have run. */
  int runCount;

  /** True once the caller has the beginning of a stream. */
  boolean streamBegan;

  /** The time at which the stream began; 0 if it has not. */
  long streamBeganAt;

  /** The builds that may begin the stream of the call; null if it is no such stream. */
  ServedBuilds servedBuilds;

  CallState(RelayCall call, RelayRule rule, ServiceName service, long arrivedAt, long deadline) {
    this.call = call;
    this.rule = rule;
    this.service = service;
    this.arrivedAt = arrivedAt;
    this.deadline = deadline;
  }

  /** Reserves memory at an upstream and releases an earlier reservation. */
  void reserveAt(UpstreamState upstream, long units) {
    releaseReservation();
    reservedUpstream = upstream;
    reservedUnits = units;
    reservedUpstream.addLoad(units);
  }

  /** Releases the reserved memory, if any. */
  void releaseReservation() {
    if (reservedUpstream != null) {
      reservedUpstream.addLoad(-reservedUnits);
      reservedUpstream = null;
    }
  }

  @Override
  public ServiceName service() {
    return service;
  }

  @Override
  public CallRank rank() {
    return rank;
  }

  @Override
  public long units() {
    return waitingUnits;
  }

  @Override
  public Optional<WorkspaceName> workspace() {
    return rankedWorkspace;
  }

  @Override
  public long arrivedAt() {
    return arrivedAt;
  }

  @Override
  public long targetNanos() {
    return rule.targetMillis() * MILLI;
  }

  @Override
  public boolean accepts(UpstreamState upstream) {
    return acceptsBuild(upstream) && !excluded.contains(upstream.incarnation());
  }

  /**
   * Returns whether an upstream is of the build that began the stream of the call, or of one that
   * may begin it.
   */
  boolean acceptsBuild(UpstreamState upstream) {
    BuildName other = upstream.upstream().build();
    return build == null
        ? servedBuilds == null || servedBuilds.mayBegin(other)
        : build.equals(other);
  }

  @Override
  public boolean acceptsAll(Collection<UpstreamState> upstreams) {
    boolean acceptsBuilds =
        build == null && (servedBuilds == null || !servedBuilds.withholdsSome());
    return (acceptsBuilds && excluded.isEmpty()) || PendingReservation.super.acceptsAll(upstreams);
  }

  @Override
  public boolean isWaiting() {
    return awaitsReservation;
  }

  @Override
  public void setWaiting(boolean waiting) {
    awaitsReservation = waiting;
  }

  /**
   * Returns whether the caller has nearly all of its time left, so that it was not refused before.
   */
  @Override
  public boolean isFirstTry() {
    return call.deadlineMillis() == 0
        || call.deadlineMillis() >= FIRST_TRY_SHARE * rule.timeoutMillis();
  }

  @Override
  public boolean isStreaming() {
    return streamBegan || call.resumes();
  }

  /** Returns whether an upstream may have run the call, or its caller has the beginning here. */
  boolean hasRunOrBegun() {
    return runCount > 0 || streamBegan;
  }

  @Override
  public boolean canMeetTarget(long at) {
    return CallDemands.canMeetTarget(this, at);
  }

  @Override
  public String wireId() {
    return call.wireId();
  }

  @Override
  public Optional<RequestTerms> terms() {
    if (runCount > 0 || isStreaming()) {
      return Optional.empty();
    }
    return Optional.of(
        new RequestTerms(
            call.identity().fingerprint().high(),
            CallLimits.abandonNanos(targetNanos(), rule.gapMillis() * MILLI) / MILLI,
            Math.max(0, deadline - arrivedAt) / MILLI));
  }

  /** Returns the work of the call in units of 1000 prompt tokens; at least 1. */
  double workUnits() {
    return Math.max(1, call.size().prompt() / 1_000.0);
  }
}
