/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.lib.Fingerprint;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.UpstreamLife;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.quota.QuotaAsk;
import org.larkkeel.quota.QuotaGrant;
import org.larkkeel.quota.QuotaKey;
import org.larkkeel.quota.TokenLimit;
import org.larkkeel.relay.MoveResult;
import org.larkkeel.relay.ProbeResult;
import org.larkkeel.relay.RateUse;
import org.larkkeel.relay.RateWord;
import org.larkkeel.relay.RelayCall;
import org.larkkeel.relay.RelayConfiguration;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RelayFact;
import org.larkkeel.relay.RelaySettings;
import org.larkkeel.relay.RelayUpstream;
import org.larkkeel.relay.RoomAsk;
import org.larkkeel.relay.RoomKeeping;
import org.larkkeel.relay.Suspect;
import org.larkkeel.relay.UpstreamNotice;

/**
 * Takes events in and leads each to the part that it concerns.
 *
 * <p>The way of a call: {@link Admission} takes it in, {@link Quotas} may turn it away, {@link
 * Rooms} has it wait for memory, {@link Dispatch} sends it, and {@link Outcomes} says what follows,
 * until {@link OpenCalls} has it no more. {@link Attempts} knows what is in flight, {@link
 * Patience} how long that is waited for, {@link RetryBudget} what may be repeated, {@link Prompts}
 * what was read for others, {@link Evacuation} the runs that move, and {@link FinalAnswers} what
 * callers are told.
 *
 * <p>Invariants: each call gets exactly one of {@code Deliver}, {@code Refuse} and {@code Cut},
 * unless its caller left; memory is set aside at one upstream for each call in progress that needs
 * any. Not safe for use by several threads.
 */
public final class Flow {
  private static final long MILLI = 1_000_000L;

  private final Parts parts;

  /** Begins without a configuration. */
  public Flow(RelaySettings settings) {
    parts = new Parts(settings);
  }

  /** Sets where effects go. */
  public void effects(Consumer<RelayEffect> sink) {
    parts.effects(sink);
  }

  /** Takes what becomes of attempts. */
  public Outcomes outcomes() {
    return parts.outcomes;
  }

  /** The configuration in force. */
  public Optional<RelayConfiguration> configuration() {
    return Optional.ofNullable(parts.admission.configuration());
  }

  /** Whether it can place calls. */
  public boolean isReady() {
    return parts.admission.isReady();
  }

  /** The calls without a final answer. */
  public int inProgress() {
    return parts.open.size();
  }

  /** How many upstreams are known. */
  public int upstreamCount() {
    return parts.fleet.size();
  }

  /** What this node has in flight at each upstream. */
  public ImmutableMap<UpstreamLife, Long> loads() {
    return parts.fleet.loads();
  }

  /** The upstreams whose prompts this node has found to be lost at once. */
  public ImmutableSet<UpstreamLife> lapsing(long at) {
    return parts.fleet.lapsing(at);
  }

  /** When a tick is due; {@link Long#MAX_VALUE} if none is. */
  public long nextDue() {
    return parts.timers.next();
  }

  /** Takes over a configuration that is not older than that in force. */
  public void read(RelayConfiguration read) {
    parts.admission.read(read);
  }

  /** Takes over changes of the list of upstreams. */
  public void upstreams(
      long at,
      ImmutableMap<UpstreamName, RelayUpstream> changed,
      ImmutableSet<UpstreamName> removed) {
    List<UpstreamState> ended = parts.fleet.update(at, changed, removed, parts::report);
    ended.forEach(s -> parts.guard.lifeEnded(at, s.life(), "restarted"));
    parts.fleet.missing(removed).forEach(s -> parts.guard.lifeEnded(at, s.life(), "missing"));
    parts.endedLives.end(at, ended);
    parts.fleet.forget(at, parts::report);
    parts.evacuation.look(at);
    parts.rooms.admitWaiting(at);
  }

  /** Takes over what another node has in flight. */
  public void heard(
      long at,
      HostName node,
      ImmutableMap<UpstreamLife, Long> loads,
      ImmutableSet<UpstreamLife> lapsing) {
    parts.fleet.heard(at, node, loads);
    lapsing.forEach(id -> parts.fleet.find(id).ifPresent(s -> s.handleLapsedElsewhere(at)));
    forgetSilent(at);
    parts.rooms.loadChanged(at);
  }

  private void forgetSilent(long at) {
    parts.fleet.forgetSilent(at);
    parts.rooms.forgetSilent(at);
  }

  /** Sets who gives room from now on. */
  public void keeping(long at, RoomKeeping now) {
    parts.rooms.keeping(at, now);
  }

  /** The calls for which another node is to be asked for room. */
  public ImmutableList<RoomAsk> asks(long at) {
    return parts.rooms.asks(at);
  }

  /** Another node asks for room. */
  public void roomAsked(long at, HostName node, DataCentreName place, ImmutableList<RoomAsk> asks) {
    parts.rooms.asked(at, node, place, asks);
  }

  /** Room was given to a call. */
  public void roomGranted(
      long at, RequestId call, UpstreamLife home, Optional<UpstreamLife> reader) {
    parts.open.find(call).ifPresent(c -> parts.rooms.granted(at, c, home, reader));
  }

  /** Lets an upstream that is ordered to change take no work. */
  public void ordered(long at, UpstreamLife id, long longestNanos) {
    Optional<UpstreamState> found = parts.fleet.find(id);
    if (parts.admission.configuration() == null || found.isEmpty()) {
      return;
    }
    UpstreamState s = found.get();
    s.ordered(parts.bounds(s.upstream().service()).memoryTokens());
    parts.timers.add(new Timers.Due.OrderOver(at + longestNanos, id));
  }

  /** An order is over, or was turned down. */
  public void orderOver(long at, UpstreamLife id) {
    parts.fleet.find(id).ifPresent(UpstreamState::orderOver);
    parts.rooms.admitWaiting(at);
  }

  /** Sends what waits for room elsewhere, and from now on each call that needs room. */
  public void drain(long at) {
    parts.dispatch.drain();
    parts.rooms.drain(at);
  }

  /** Sets over how many nodes the slack of the budget is split. */
  public void nodes(long at, int count) {
    parts.repeats.nodes(count);
    parts.held.nodes(at, count);
  }

  /** A call has arrived. */
  public void arrived(long at, RelayCall call) {
    parts.admission.admit(at, call).ifPresent(c -> admitted(at, c));
  }

  private void admitted(long at, CallState c) {
    parts.open.add(c);
    parts.timers.add(new Timers.Due.Deadline(c.deadline, c.call.id()));
    parts.quotas.admit(at, c);
  }

  // What upstreams say of themselves.

  /** An answer of an upstream says something of the upstream itself. */
  public void noticed(long at, UpstreamLife life, long sentAt, UpstreamNotice notice) {
    parts.fleet.find(life).ifPresent(s -> noticed(at, s, sentAt, notice));
  }

  private void noticed(long at, UpstreamState s, long sentAt, UpstreamNotice notice) {
    if (parts.fleet.rates().noticed(at, s, sentAt, notice.rate())) {
      limitEnded(at);
    }
    if (notice.leaving() && parts.fleet.saysLeaving(s, parts::report)) {
      parts.evacuation.look(at);
    }
    if (notice.restNanos() > 0) {
      s.rest(at, notice.restNanos());
      parts.timers.add(new Timers.Due.Contest(s.restUntil()));
      parts.report(new RelayFact.Rests(s.upstream().id(), notice.restNanos()));
    }
  }

  /** The limits that upstreams have, and how much this node has used of each. */
  public ImmutableList<RateUse> rateUses(long at) {
    return parts.fleet.rates().uses(at);
  }

  /** Whether an upstream limits its requests, so that each of its answers counts. */
  public boolean isRateLimited(UpstreamLife life) {
    return parts.fleet.rates().isLimited(life);
  }

  /** Other nodes tell of limits. */
  public void ratesHeard(long at, ImmutableList<RateWord> words) {
    if (parts.fleet.rates().heard(at, words)) {
      limitEnded(at);
    }
  }

  private void limitEnded(long at) {
    parts.permits.granted(at);
    parts.rooms.admitWaiting(at);
  }

  /** What other nodes are to know of limits. */
  public ImmutableList<RateWord> rates(long at) {
    return parts.fleet.rates().words(at);
  }

  /** Whether requests may be sent to a life of an upstream, as far as it has said itself. */
  public boolean mayReach(long at, UpstreamLife life) {
    return parts.fleet.find(life).map(s -> s.isOpen(at)).orElse(true);
  }

  // Requests under which upstreams end.

  /** A probe of an upstream was answered. */
  public void probed(long at, UpstreamLife life, ProbeResult result) {
    parts.guard.probed(at, life, result);
  }

  /** What other nodes are to know of requests under which upstreams ended. */
  public ImmutableList<Suspect> suspects(long at) {
    return parts.guard.suspects(at);
  }

  /** For how long a request is quarantined still; 0 if it is not. */
  public long quarantinedNanos(long at, Fingerprint request) {
    return parts.guard.remainingNanos(at, request);
  }

  /** Takes over what another node knows of such requests. */
  public void suspectsHeard(long at, ImmutableList<Suspect> told) {
    parts.guard.heard(at, told);
  }

  /** An operator lets a request be sent again. */
  public void released(long at, Fingerprint request) {
    parts.guard.released(at, request);
  }

  // Moves: runs at upstreams that leave go on elsewhere with their memory.

  /** A step of a move was answered. */
  public void moved(long at, AttemptId id, MoveResult result) {
    parts.evacuation.moved(at, id, result);
  }

  // Quotas.

  /** The coordinator of quotas has answered. */
  public void quotaGranted(long at, QuotaGrant grant) {
    parts.quotas.granted(at, grant);
  }

  /** Another node is the coordinator of quotas now. */
  public void quotaCoordinatorChanged(long at) {
    parts.quotas.coordinatorChanged(at);
  }

  /** What the coordinator of quotas is to be asked now. */
  public Optional<QuotaAsk> quotaAsk(long at, boolean heartbeat) {
    return parts.quotas.ask(at, heartbeat);
  }

  /** Whether calls wait for tokens of their quotas. */
  public boolean awaitsQuota() {
    return parts.quotas.hasWaiting();
  }

  /** The limit of a quota; empty if there is no such workspace or upstream. */
  public Optional<TokenLimit> limit(QuotaKey key) {
    return parts.quotas.limit(key);
  }

  /** The caller is gone. */
  public void callerLeft(long at, RequestId id) {
    parts.open.find(id).ifPresent(c -> callerLeft(at, c));
  }

  private void callerLeft(long at, CallState c) {
    parts.report(
        new RelayFact.CallerLeft(c.call.wireId(), c.rule.name().value(), at - c.arrivedAt));
    parts.open.cancel(c);
    parts.open.remove(c);
    parts.rooms.admitWaiting(at);
  }

  /**
   * The machine was suspended: deadlines that have passed end their calls, and what others told
   * before is forgotten, before anything is sent.
   */
  public void resumed(long at, long suspendedNanos) {
    parts.report(new RelayFact.Resumed(suspendedNanos));
    parts.quotas.resumed(at);
    ticked(at);
  }

  /** Time has passed. */
  public void ticked(long at) {
    for (Timers.Due due = parts.timers.poll(at); due != null; due = parts.timers.poll(at)) {
      switch (due) {
        case Timers.Due.Deadline d -> parts.open.find(d.call()).ifPresent(c -> deadline(at, c));
        case Timers.Due.Contest t -> parts.rooms.contestOver(at);
        case Timers.Due.Room r -> parts.open.find(r.call()).ifPresent(c -> parts.rooms.due(at, c));
        case Timers.Due.Evacuate e -> parts.evacuation.due(at, e.upstream());
        case Timers.Due.OrderOver o -> orderOver(at, o.upstream());
        case Timers.Due.MoveOver m -> parts.evacuation.overdue(at, m.attempt());
        case Timers.Due.Quota q ->
            parts.open.find(q.call()).ifPresent(c -> parts.quotas.due(at, c));
        case Timers.Due.Permit p ->
            parts.open.find(p.call()).ifPresent(c -> parts.permits.due(at, c));
        case Timers.Due.Patience p -> parts.outcomes.impatient(at, p.attempt());
      }
    }
    forgetSilent(at);
  }

  private void deadline(long at, CallState c) {
    AttemptState a = c.attempt;
    parts.open.cancel(c);
    if (a != null) {
      parts.attempts.failed(a, "DEADLINE", true);
    }
    ErrorKind kind = c.runs > 0 ? ErrorKind.DEADLINE_EXCEEDED : ErrorKind.OVERLOADED;
    parts.open.giveUp(at, c, kind, "no answer after " + (at - c.arrivedAt) / MILLI + " ms");
  }
}
