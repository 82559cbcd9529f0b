/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import org.larkkeel.lib.Incarnation;
import org.larkkeel.lib.UpstreamLife;
import org.larkkeel.relay.RelayUpstream;

/**
 * What this node believes of one life of an upstream; a later life gets a state of its own.
 *
 * <p>Times fade: what was learnt counts half after {@link #HALF_LIFE_NANOS}. Not safe for use by
 * several threads.
 */
final class UpstreamState {
  static final long HALF_LIFE_NANOS = 4_000_000_000L;
  private static final double LEARN = 0.3;
  private static final double FAILURE_WEIGHT = 6;
  private static final long FIRST_AVOID_NANOS = 1_000_000_000L;
  private static final long LONGEST_AVOID_NANOS = 8_000_000_000L;
  private static final int MOST_DOUBLINGS = 3;
  private static final long LAPSE_NANOS = 2_000_000_000L;
  private static final long LAPSE_ELSEWHERE_NANOS = 600_000_000L;
  private static final long BUSY_NANOS = 250_000_000L;

  /** How often the time for which it is taken for full doubles, while it declines all. */
  private static final int MOST_BUSY_DOUBLINGS = 2;

  private final UpstreamLife life;
  private final Surroundings around;
  private RelayUpstream upstream;
  private int inFlight;
  private long load;
  private long remote;
  private long granted;
  private double unitNanos;
  private long unitAt;
  private double failures;
  private long failuresAt;
  private int strikes;
  private int declines;
  private boolean probed;
  private long avoidUntil = Long.MIN_VALUE;
  private long busyUntil = Long.MIN_VALUE;
  private long lapseUntil = Long.MIN_VALUE;
  private long lapseUntilElsewhere = Long.MIN_VALUE;
  private long missingSince = Long.MAX_VALUE;
  private boolean saidLeaving;
  private long restUntil = Long.MIN_VALUE;
  private final RateBelief rate = new RateBelief();
  private boolean evacuating;
  private long orderUnits;

  /** What the state of an upstream needs of others. */
  interface Surroundings {
    /** What this node has in flight there has changed. */
    void loadChanged(UpstreamState s);

    /** Whether its limit lets a request be sent now; if not, a permit is asked for. */
    boolean hasPermit(long at, UpstreamState s);

    /** A request is sent there, which takes the permit. */
    void sent(UpstreamState s);
  }

  /**
   * Begins to know a life.
   *
   * @param around what it needs of others
   */
  UpstreamState(RelayUpstream upstream, Surroundings around) {
    this.life = upstream.life();
    this.upstream = upstream;
    this.around = around;
  }

  RelayUpstream upstream() {
    return upstream;
  }

  /** The life of which all here is believed. */
  UpstreamLife life() {
    return life;
  }

  /** Whether the start is that of its life. */
  boolean isOf(Incarnation start) {
    return life.start().value() == start.value();
  }

  /** Takes over what is listed of the same life now. */
  void update(RelayUpstream now) {
    if (now.stage() != upstream.stage()) {
      orderOver();
    }
    upstream = now;
    missingSince = Long.MAX_VALUE;
  }

  void missing(long at) {
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

  /** Takes all its room while an order is carried out; other nodes are told as of any load. */
  void ordered(long units) {
    orderOver();
    orderUnits = units;
    addLoad(units);
  }

  /** Gives its room back. */
  void orderOver() {
    addLoad(-orderUnits);
    orderUnits = 0;
  }

  /** Whether it leaves, or is gone from the list. */
  boolean isGoing() {
    return isLeaving() || isMissing();
  }

  /**
   * Whether it leaves, by the list or by its own word. What it says in an answer is newer than what
   * the list has, which an outage of the store can hold back; only a later life takes it back.
   */
  boolean isLeaving() {
    return upstream.leaving() || saidLeaving;
  }

  /** Notes that it has said in an answer that it leaves; says whether that is new. */
  boolean saysLeaving() {
    boolean isNew = !isLeaving();
    saidLeaving = true;
    return isNew;
  }

  /** Whether it has asked for rest that is not over. */
  boolean isResting(long at) {
    return at < restUntil;
  }

  /** Until when it has asked for rest; long ago if it has not. */
  long restUntil() {
    return restUntil;
  }

  /** Notes that it wants no requests for some time; a shorter time does not end a longer one. */
  void rest(long at, long nanos) {
    restUntil = Math.max(restUntil, at + nanos);
  }

  /** The limit of the requests that it takes, as far as it has said. */
  RateBelief rate() {
    return rate;
  }

  /** Whether it takes requests, as far as it has said; the number of them may be limited. */
  boolean isOpen(long at) {
    return !isLeaving() && !isResting(at);
  }

  /**
   * Whether it takes new work now, as far as it has said. Where only a permit is missing, one is
   * asked for.
   */
  boolean takesWork(long at) {
    return isOpen(at) && around.hasPermit(at, this);
  }

  /** Notes that its runs are to move; says whether that is new. */
  boolean beginEvacuation() {
    boolean begins = !evacuating;
    evacuating = true;
    return begins;
  }

  /** Notes that it has nothing more to move. */
  void endEvacuation() {
    evacuating = false;
  }

  int inFlight() {
    return inFlight;
  }

  /** What this node has in flight there. */
  long load() {
    return load;
  }

  /** What all nodes have in flight there, as far as is known. */
  long wholeLoad() {
    return load + remote + granted;
  }

  void addLoad(long units) {
    if (units != 0) {
      load += units;
      around.loadChanged(this);
    }
  }

  void addRemote(long units) {
    remote = Math.max(0, remote + units);
  }

  /** Counts what was granted to another node that has not told of it yet. */
  void addGranted(long units) {
    granted += units;
  }

  void started() {
    around.sent(this);
    inFlight++;
    probed = declines > 0;
  }

  void ended() {
    inFlight--;
    probed = false;
  }

  /** Learns how long one unit of work took. */
  void took(long at, double nanosPerUnit) {
    double weight = unitAt == 0 ? 0 : fade(at - unitAt) * (1 - LEARN);
    unitNanos = weight * unitNanos + (1 - weight) * nanosPerUnit;
    unitAt = at;
  }

  /** The estimate of one unit, drawn towards what is usual the older it is. */
  double unit(long at, double usual) {
    if (unitAt == 0) {
      return usual;
    }
    double weight = fade(at - unitAt);
    return weight * unitNanos + (1 - weight) * usual;
  }

  /** The factor by which failures of late make it dearer. */
  double caution(long at) {
    double factor = 1 + FAILURE_WEIGHT * failures * fade(at - failuresAt);
    return isBusy(at) ? 2 * factor : factor;
  }

  void succeeded(long at) {
    outcome(at, 0);
    strikes = 0;
    declines = 0;
    probed = false;
    avoidUntil = Long.MIN_VALUE;
  }

  /** A failure that a sound upstream may show as well. */
  void failed(long at) {
    outcome(at, 1);
  }

  /**
   * A failure that a sound upstream does not show.
   *
   * @return how long it is avoided; 0 if not
   */
  long struck(long at, boolean hard) {
    outcome(at, 1);
    strikes++;
    if (!hard && strikes < 2) {
      return 0;
    }
    long time =
        Math.min(LONGEST_AVOID_NANOS, FIRST_AVOID_NANOS << Math.min(strikes - 1, MOST_DOUBLINGS));
    avoidUntil = at + time;
    return time;
  }

  boolean isStruck() {
    return strikes > 1 || avoidUntil != Long.MIN_VALUE;
  }

  /** Whether it is avoided, or is tried again by one request already. */
  boolean isAvoided(long at) {
    return avoidUntil != Long.MIN_VALUE && (at < avoidUntil || inFlight > 0);
  }

  /**
   * It was full, or takes no work for another reason.
   *
   * @return until when it is taken for full
   */
  long declined(long at) {
    busyUntil = at + (BUSY_NANOS << Math.min(declines, MOST_BUSY_DOUBLINGS));
    declines++;
    return busyUntil;
  }

  /** Whether it was full just now, or is asked by one request whether it still is. */
  boolean isBusy(long at) {
    return at < busyUntil || probed;
  }

  /** Another incarnation answers at its address, or it does other work than was listed. */
  void replaced(long at) {
    outcome(at, 1);
    avoidUntil = at + LONGEST_AVOID_NANOS;
  }

  void handleLapsed(long at) {
    lapseUntil = at + LAPSE_NANOS;
  }

  /** Another node has found that handles lapse; it tells so again while it lasts. */
  void handleLapsedElsewhere(long at) {
    lapseUntilElsewhere = at + LAPSE_ELSEWHERE_NANOS;
  }

  boolean lapsesFirstHand(long at) {
    return at < lapseUntil;
  }

  boolean handlesLapse(long at) {
    return at < lapseUntil || at < lapseUntilElsewhere;
  }

  private void outcome(long at, double failure) {
    failures = fade(at - failuresAt) * (1 - LEARN) * failures + LEARN * failure;
    failuresAt = at;
  }

  private static double fade(long age) {
    return Math.pow(0.5, Math.max(0, age) / (double) HALF_LIFE_NANOS);
  }
}
