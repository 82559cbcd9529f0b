/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import org.larkkeel.lib.Incarnation;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.relay.ProbeResult;
import org.larkkeel.relay.RelayUpstream;
import org.larkkeel.relay.UpstreamPath;

/**
 * The estimates and known state of one incarnation of an upstream; a later incarnation gets a state
 * of its own.
 *
 * <p>Measurements decay: their weight halves every {@link #HALF_LIFE_NANOS}. Not thread-safe.
 */
final class UpstreamState {
  static final long HALF_LIFE_NANOS = 4_000_000_000L;

  /** The weight of a new measurement in an average. */
  private static final double LEARNING_RATE = 0.3;

  /** The extra cost factor of an upstream at which every recent attempt failed. */
  private static final double FAILURE_WEIGHT = 6;

  private static final long MIN_EJECTION_NANOS = 1_000_000_000L;
  private static final long MAX_EJECTION_NANOS = 8_000_000_000L;
  private static final int MAX_EJECTION_DOUBLINGS = 3;

  /**
   * The time for which no prompt is prefilled at an upstream after this node observed a lost
   * handle.
   */
  private static final long HANDLE_LOSS_NANOS = 2_000_000_000L;

  /** The time for which another node's report of a lost handle counts; the node repeats it. */
  private static final long REPORTED_HANDLE_LOSS_NANOS = 600_000_000L;

  /** The time for which an upstream is treated as full after the first declined request. */
  private static final long FULL_NANOS = 250_000_000L;

  /**
   * The maximum number of doublings of the time for which an upstream that declines every request
   * is treated as full.
   */
  private static final int MAX_FULL_DOUBLINGS = 2;

  /** The maximum time from the start of an incarnation to its entry in the discovery list. */
  private static final long MAX_ENTRY_DELAY_NANOS = 1_500_000_000L;

  private final UpstreamIncarnation incarnation;
  private final Environment environment;
  private RelayUpstream upstream;
  private int inFlight;
  private long load;
  private long remoteLoad;
  private long grantedLoad;
  private double unitNanos;
  private long unitUpdatedAt;
  private double failureRate;
  private long failureRateUpdatedAt;
  private int hardFailures;
  private long failedHardAt = Long.MIN_VALUE / 2;
  private int consecutiveDeclines;
  private boolean probing;
  private long ejectedUntil = Long.MIN_VALUE;
  private long fullUntil = Long.MIN_VALUE;
  private long handleLossUntil = Long.MIN_VALUE;
  private long reportedHandleLossUntil = Long.MIN_VALUE;
  private long missingSince = Long.MAX_VALUE;
  private boolean announcedLeaving;
  private long backoffUntil = Long.MIN_VALUE;
  private long backoffSentAt = Long.MIN_VALUE / 2;
  private final RateLimitState rateLimit = new RateLimitState();
  private final EngineSpeed speed;
  private boolean evacuating;
  private long orderUnits;
  private Reach reach = Reach.DIRECT;
  private ProbeResult directResult = ProbeResult.LISTENS;
  private long unreachableUntil = Long.MIN_VALUE;
  private long heardAt = Long.MIN_VALUE;
  private long listenedAt = Long.MIN_VALUE / 2;

  /** How this node reaches the upstream. */
  enum Reach {
    /** By direct connections, as far as is known. */
    DIRECT,

    /** Direct connections fail, and it is not known yet whether a tunnel opens. */
    UNKNOWN,

    /** By tunnels. */
    TUNNEL
  }

  /** Callbacks to the owner of the state. */
  interface Environment {
    /** Handles a change of this node's load at the upstream. */
    void loadChanged(UpstreamState s);

    /**
     * Returns whether the rate limit of the upstream permits a request now; if not, a permit is
     * requested.
     */
    boolean hasPermit(long at, UpstreamState s);

    /** Handles a request that is sent to the upstream, which uses the permit. */
    void requestSent(UpstreamState s);
  }

  /**
   * Creates the state of an incarnation.
   *
   * @param upstream the listed upstream
   * @param environment the callbacks to the owner
   * @param speed the speed of the incarnation
   */
  UpstreamState(RelayUpstream upstream, Environment environment, EngineSpeed speed) {
    this.incarnation = upstream.incarnation();
    this.upstream = upstream;
    this.environment = environment;
    this.speed = speed;
  }

  RelayUpstream upstream() {
    return upstream;
  }

  /** Returns the incarnation that this state describes. */
  UpstreamIncarnation incarnation() {
    return incarnation;
  }

  /** Returns whether the number is that of this incarnation. */
  boolean isIncarnation(Incarnation number) {
    return incarnation.incarnation().value() == number.value();
  }

  /** Applies the current entry of the same incarnation in the discovery list. */
  void update(RelayUpstream listed) {
    if (listed.stage() != upstream.stage()) {
      orderEnded();
    }
    upstream = listed;
    missingSince = Long.MAX_VALUE;
  }

  void markMissing(long at) {
    if (missingSince == Long.MAX_VALUE) {
      missingSince = at;
    }
  }

  boolean isMissing() {
    return missingSince != Long.MAX_VALUE;
  }

  boolean isMissingFor(long at, long nanos) {
    return isMissing() && at - missingSince >= nanos;
  }

  /**
   * Reserves the memory of the upstream while an order is carried out; other nodes receive this
   * like any load.
   */
  void ordered(long units) {
    orderEnded();
    orderUnits = units;
    addLoad(units);
  }

  /** Releases the memory that was reserved for an order, if any. */
  void orderEnded() {
    addLoad(-orderUnits);
    orderUnits = 0;
  }

  /** Returns whether the upstream is leaving or missing. */
  boolean isLeavingOrMissing() {
    return isLeaving() || isMissing();
  }

  /**
   * Returns whether the upstream is leaving, by the discovery list or by its notice. The notice in
   * an answer is newer than the list, which an outage of the store can delay; only a later
   * incarnation ends it.
   */
  boolean isLeaving() {
    return upstream.leaving() || announcedLeaving;
  }

  /**
   * Records that an answer of the upstream announced that it leaves; returns whether that is new.
   */
  boolean markLeaving() {
    boolean isNew = !isLeaving();
    announcedLeaving = true;
    return isNew;
  }

  /** Returns whether the upstream is in backoff. */
  boolean isInBackoff(long at) {
    return at < backoffUntil;
  }

  /** Returns the end of the backoff; {@link Long#MIN_VALUE} if there was none. */
  long backoffUntil() {
    return backoffUntil;
  }

  /**
   * Records that the upstream wants no requests for some time; a shorter time does not end a longer
   * one.
   *
   * @param sentAt when the request was sent whose answer says so
   */
  void backOff(long at, long sentAt, long nanos) {
    backoffUntil = Math.max(backoffUntil, at + nanos);
    backoffSentAt = sentAt;
  }

  /**
   * Takes over a backoff that was booked on the previous incarnation and that this one asked for:
   * answers do not name the incarnation, and its entry comes later than its first answers.
   *
   * @param startedAt when this incarnation started
   */
  void takeOverBackoff(long at, UpstreamState previous, long startedAt) {
    long sentAt = previous.backoffSentAt;
    if (sentAt > startedAt && at - sentAt <= MAX_ENTRY_DELAY_NANOS) {
      backoffUntil = previous.backoffUntil;
      backoffSentAt = sentAt;
    }
  }

  Reach reach() {
    return reach;
  }

  void setReach(Reach next) {
    reach = next;
  }

  /**
   * Returns whether neither this node nor another one reached the upstream a moment ago, so that
   * another attempt is hopeless.
   */
  boolean isUnreachable(long at) {
    return at < unreachableUntil;
  }

  void unreachableUntil(long time) {
    unreachableUntil = time;
  }

  /** Returns the result of the last direct probe. */
  ProbeResult directResult() {
    return directResult;
  }

  void setDirectResult(ProbeResult result) {
    directResult = result;
  }

  /** Returns whether a path to the upstream is known. */
  boolean isPathKnown() {
    return reach != Reach.UNKNOWN;
  }

  /** Returns the path by which a request is sent now. */
  UpstreamPath path() {
    return reach == Reach.TUNNEL ? UpstreamPath.TUNNEL : UpstreamPath.DIRECT;
  }

  /** Returns when this node last received something from the upstream. */
  long heardAt() {
    return heardAt;
  }

  void heard(long at) {
    heardAt = at;
  }

  /** Returns when the upstream last accepted a probe by the path that is used. */
  long listenedAt() {
    return listenedAt;
  }

  void listened(long at) {
    listenedAt = at;
  }

  /** Returns the speed of the incarnation, as far as it was measured. */
  EngineSpeed speed() {
    return speed;
  }

  /** Returns the rate limit of the upstream, as far as its answers announced one. */
  RateLimitState rateLimit() {
    return rateLimit;
  }

  /**
   * Returns whether the upstream is neither leaving nor in backoff; the rate of its requests may be
   * limited.
   */
  boolean acceptsRequests(long at) {
    return !isLeaving() && !isInBackoff(at);
  }

  /**
   * Returns whether the upstream accepts new work now, as far as is known. If only a permit is
   * missing, one is requested.
   */
  boolean acceptsWork(long at) {
    return acceptsRequests(at) && environment.hasPermit(at, this);
  }

  /** Records that the runs of the upstream are to be moved; returns whether that is new. */
  boolean beginEvacuation() {
    boolean begins = !evacuating;
    evacuating = true;
    return begins;
  }

  /** Records that the upstream has nothing more to move. */
  void endEvacuation() {
    evacuating = false;
  }

  int inFlight() {
    return inFlight;
  }

  /** Returns the load that this node has at the upstream. */
  long load() {
    return load;
  }

  /** Returns the load that all nodes have at the upstream, as far as is known. */
  long totalLoad() {
    return load + remoteLoad + grantedLoad;
  }

  void addLoad(long units) {
    if (units != 0) {
      load += units;
      environment.loadChanged(this);
    }
  }

  void addRemote(long units) {
    remoteLoad = Math.max(0, remoteLoad + units);
  }

  /** Adds load that was granted to another node and that the node has not reported yet. */
  void addGranted(long units) {
    grantedLoad += units;
  }

  void attemptStarted() {
    environment.requestSent(this);
    inFlight++;
    probing = consecutiveDeclines > 0;
  }

  void attemptEnded() {
    inFlight--;
    probing = false;
  }

  /** Records the measured time of one unit of work. */
  void recordUnitTime(long at, double nanosPerUnit) {
    double weight = unitUpdatedAt == 0 ? 0 : decay(at - unitUpdatedAt) * (1 - LEARNING_RATE);
    unitNanos = weight * unitNanos + (1 - weight) * nanosPerUnit;
    unitUpdatedAt = at;
  }

  /**
   * Returns the estimated time of one unit of work, in nanoseconds; the older the last measurement,
   * the closer to {@code typical}.
   */
  double estimateUnitNanos(long at, double typical) {
    if (unitUpdatedAt == 0) {
      return typical;
    }
    double weight = decay(at - unitUpdatedAt);
    return weight * unitNanos + (1 - weight) * typical;
  }

  /** Returns the cost factor of recent failures and declines. */
  double failureFactor(long at) {
    // Most upstreams have never failed, and a power takes longer than the rest of a cost.
    double factor =
        failureRate == 0 ? 1 : 1 + FAILURE_WEIGHT * failureRate * decay(at - failureRateUpdatedAt);
    return isFull(at) ? 2 * factor : factor;
  }

  void succeeded(long at) {
    recordOutcome(at, 0);
    hardFailures = 0;
    consecutiveDeclines = 0;
    probing = false;
    ejectedUntil = Long.MIN_VALUE;
  }

  /** Records a failure that a healthy upstream may show as well. */
  void failed(long at) {
    recordOutcome(at, 1);
  }

  /**
   * Records a failure that a healthy upstream does not show.
   *
   * @param at now
   * @param ejectNow whether this failure ejects the upstream even if it is the first
   * @return the nanoseconds for which the upstream is ejected; 0 if it is not
   */
  long failedHard(long at, boolean ejectNow) {
    recordOutcome(at, 1);
    failedHardAt = at;
    hardFailures++;
    if (!ejectNow && hardFailures < 2) {
      return 0;
    }
    long ejectionNanos =
        Math.min(
            MAX_EJECTION_NANOS,
            MIN_EJECTION_NANOS << Math.min(hardFailures - 1, MAX_EJECTION_DOUBLINGS));
    ejectedUntil = at + ejectionNanos;
    return ejectionNanos;
  }

  /** Returns whether the upstream failed within some time in a way that a healthy one does not. */
  boolean hasFailedHard(long at, long nanos) {
    return at - failedHardAt <= nanos;
  }

  /** Ends an ejection whose failures were those of the path and not of the upstream. */
  void endEjection() {
    hardFailures = 0;
    failureRate = 0;
    ejectedUntil = Long.MIN_VALUE;
  }

  /** Returns whether the upstream was ejected and has not succeeded since. */
  boolean hasBeenEjected() {
    return hardFailures > 1 || ejectedUntil != Long.MIN_VALUE;
  }

  /**
   * Returns whether the upstream is ejected, or one request is already testing it after its
   * ejection.
   */
  boolean isEjected(long at) {
    return ejectedUntil != Long.MIN_VALUE && (at < ejectedUntil || inFlight > 0);
  }

  /** Returns whether the upstream is neither ejected nor missing, and a path to it is known. */
  boolean isHealthy(long at) {
    return !isMissing() && !isEjected(at) && isPathKnown();
  }

  /**
   * Records that the upstream declined a request, because it was full or for another reason.
   *
   * @return the time until which the upstream is treated as full
   */
  long declined(long at) {
    fullUntil = at + (FULL_NANOS << Math.min(consecutiveDeclines, MAX_FULL_DOUBLINGS));
    consecutiveDeclines++;
    return fullUntil;
  }

  /**
   * Returns whether the upstream declined a request a moment ago, or one request is testing whether
   * it still does.
   */
  boolean isFull(long at) {
    return at < fullUntil || probing;
  }

  /**
   * Ejects an upstream at whose address another incarnation answers, or that does other work than
   * listed.
   */
  void replaced(long at) {
    recordOutcome(at, 1);
    ejectedUntil = at + MAX_EJECTION_NANOS;
  }

  void handleLost(long at) {
    handleLossUntil = at + HANDLE_LOSS_NANOS;
  }

  /**
   * Records that another node observed lost prefill handles; that node repeats its report while
   * this lasts.
   */
  void handleLossReported(long at) {
    reportedHandleLossUntil = at + REPORTED_HANDLE_LOSS_NANOS;
  }

  /** Returns whether this node itself observed a lost prefill handle a moment ago. */
  boolean hasObservedHandleLoss(long at) {
    return at < handleLossUntil;
  }

  /** Returns whether any node observed a lost prefill handle a moment ago. */
  boolean losesHandles(long at) {
    return at < handleLossUntil || at < reportedHandleLossUntil;
  }

  private void recordOutcome(long at, double failure) {
    failureRate =
        decay(at - failureRateUpdatedAt) * (1 - LEARNING_RATE) * failureRate
            + LEARNING_RATE * failure;
    failureRateUpdatedAt = at;
  }

  private static double decay(long age) {
    return Math.pow(0.5, Math.max(0, age) / (double) HALF_LIFE_NANOS);
  }
}
