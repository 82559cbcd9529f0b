/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.larkkeel.lib.UpstreamLife;
import org.larkkeel.quota.QuotaKey;
import org.larkkeel.relay.RelayCall;
import org.larkkeel.relay.RelayEffect.Purpose;
import org.larkkeel.relay.RelayRule;
import org.larkkeel.relay.RelayWorkspace;
import org.larkkeel.relay.ServiceName;

/**
 * One call from its admission to its final answer.
 *
 * <p>Invariant: at most one attempt is in flight. Not safe for use by several threads.
 */
final class CallState implements Seeker {
  /** A caller with less than this part of the rule's time left has been refused before. */
  private static final double FRESH_SHARE = 0.97;

  private static final long MILLI = 1_000_000L;

  final RelayCall call;
  final RelayRule rule;
  final ServiceName service;
  final long arrivedAt;
  final long deadline;

  /** For whom it is; empty for an anonymous call. */
  Optional<RelayWorkspace> workspace = Optional.empty();

  /** From whose quota it takes tokens; null if from none. */
  QuotaKey.OfWorkspace quotaOf;

  /** How many it takes. */
  long quotaTokens;

  /** Whether it waits for tokens. */
  boolean awaitsQuota;

  /** Whether it has them. */
  boolean holdsQuota;

  /** Whether it waits for a permit to one of its upstreams. */
  boolean awaitsPermit;

  /** Until when. */
  long permitUntil;

  /** The upstreams to which it is not sent again. */
  final Set<UpstreamLife> without = new HashSet<>();

  /** The attempt in flight; null if there is none. */
  AttemptState attempt;

  /** When the attempt in flight brought its first event; {@link Long#MIN_VALUE} if it has not. */
  long attemptBeganAt = Long.MIN_VALUE;

  /** The upstream at which memory is set aside for it; null if there is none. */
  UpstreamState home;

  /** What is set aside there. */
  long homeUnits;

  /** The tokens that were generated for it. */
  long generated;

  /** Whether it waits for room. */
  boolean waiting;

  /** The prompt, once it was read; null before and after its use. */
  Purpose.TakeOver prompt;

  /** The upstream that has read its prompt; null if none has. */
  UpstreamLife reader;

  /** The upstream that may have lost the call's prompt; null if none may. */
  UpstreamLife suspect;

  /** How many upstreams have declined the prompt. */
  int promptDeclined;

  /** All sends. */
  int sends;

  /** Sends that count as arrivals at an upstream. */
  int arrivals;

  /** Sends that have run or may have. */
  int runs;

  /** Whether the caller has the beginning of a stream. */
  boolean began;

  /** When it began; 0 if not. */
  long beganAt;

  CallState(RelayCall call, RelayRule rule, ServiceName service, long arrivedAt, long deadline) {
    this.call = call;
    this.rule = rule;
    this.service = service;
    this.arrivedAt = arrivedAt;
    this.deadline = deadline;
  }

  /** Sets memory aside at an upstream, and no longer where it was set aside before. */
  void moveIn(UpstreamState upstream, long units) {
    moveOut();
    home = upstream;
    homeUnits = units;
    home.addLoad(units);
  }

  /** Gives back the memory that is set aside. */
  void moveOut() {
    if (home != null) {
      home.addLoad(-homeUnits);
      home = null;
    }
  }

  @Override
  public ServiceName service() {
    return service;
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
  public Set<UpstreamLife> without() {
    return without;
  }

  @Override
  public boolean isWaiting() {
    return waiting;
  }

  @Override
  public void setWaiting(boolean now) {
    waiting = now;
  }

  /** Whether the caller has all of its time left, so that it was not refused before. */
  @Override
  public boolean isFresh() {
    return call.deadlineMillis() == 0
        || call.deadlineMillis() >= FRESH_SHARE * rule.timeoutMillis();
  }

  @Override
  public boolean isBegun() {
    return began || call.resumes();
  }

  @Override
  public boolean isInTime(long at) {
    return Sizing.isInTime(this, at);
  }

  /** Thousands of prompt tokens, or one for calls without a prompt: the unit of work. */
  double units() {
    return Math.max(1, call.size().prompt() / 1_000.0);
  }
}
