/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.larkkeel.effect.Effect;
import org.larkkeel.effect.Fact;
import org.larkkeel.router.QueuePolicy;

/**
 * Starts waiting requests: first the transfers of held KV caches, oldest first, then the lanes.
 *
 * <p>The next lane is the one whose head has the earliest sort key, a time between its arrival and
 * its target that depends on the kind of the lane.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class Dispatcher {
  private static final LaneKind[] KINDS = LaneKind.values();
  private static final long SWEEP_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /** Sorts late requests behind those that can still meet their target. */
  private static final long LATE_OFFSET_NANOS = TimeUnit.HOURS.toNanos(1);

  /** The number of other requests of a route after which a late one has its turn. */
  private static final int LATE_TURN_INTERVAL = 50;

  /** The share of the decode slots that must be unreserved for a late request to start. */
  private static final double MIN_UNRESERVED_SHARE_FOR_LATE = 0.1;

  private static final int PRIORITY_RETRY = 0;
  private static final int PRIORITY_SMALL = 1;
  private static final int PRIORITY_INTERACTIVE = 2;
  private static final int PRIORITY_PATIENT = 3;
  private static final long MIN_PREFILL_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final int PREFILL_TIMEOUT_FACTOR = 5;

  private final Core core;
  private final Timer sweep;
  private final List<Route> servedRoutes = new ArrayList<>();
  private final List<Route> fullRoutes = new ArrayList<>();
  private boolean[] blockedLanes = new boolean[KINDS.length];

  Dispatcher(Core core) {
    this.core = core;
    this.sweep = new Timer(this::sweep);
  }

  /** Serves the ready routes until no further request can be placed. */
  public void run() {
    if (core.upstreams.readyRoutes().isEmpty()) {
      return;
    }
    servedRoutes.clear();
    for (Route route : core.upstreams.readyRoutes()) {
      if (!route.held.isEmpty() || route.queued() > 0) {
        servedRoutes.add(route);
      }
    }
    core.upstreams.readyRoutes().clear();
    serveHeld();
    serveLanes();
    scheduleSweep();
  }

  /**
   * Returns the priority of a request inside an engine.
   *
   * @param request the request
   * @return the priority; lower values run earlier
   */
  int priority(RequestState request) {
    if (request.attemptCount > 1) {
      return PRIORITY_RETRY;
    }
    if (request.contextTokens() <= core.context.settings().smallPromptTokens()) {
      return PRIORITY_SMALL;
    }
    return request.route.isInteractive() ? PRIORITY_INTERACTIVE : PRIORITY_PATIENT;
  }

  private void serveHeld() {
    fullRoutes.clear();
    RequestState oldest = oldestHeld();
    while (oldest != null) {
      if (!core.decodeFlow.tryTransfer(oldest)) {
        fullRoutes.add(oldest.route);
      }
      oldest = oldestHeld();
    }
  }

  private RequestState oldestHeld() {
    RequestState oldest = null;
    for (int i = 0; i < servedRoutes.size(); i++) {
      Route route = servedRoutes.get(i);
      if (route.held.isEmpty() || fullRoutes.contains(route)) {
        continue;
      }
      RequestState head = route.held.values().iterator().next();
      if (oldest == null || head.kvHeldSince < oldest.kvHeldSince) {
        oldest = head;
      }
    }
    return oldest;
  }

  private void serveLanes() {
    int laneCount = servedRoutes.size() * KINDS.length;
    if (blockedLanes.length < laneCount) {
      blockedLanes = new boolean[laneCount];
    }
    Arrays.fill(blockedLanes, 0, laneCount, false);
    int next = nextLane();
    while (next >= 0) {
      Route route = servedRoutes.get(next / KINDS.length);
      LaneKind kind = KINDS[next % KINDS.length];
      if (!startHead(route, kind)) {
        blockedLanes[next] = true;
      }
      next = nextLane();
    }
  }

  private int nextLane() {
    int best = -1;
    long bestKey = Long.MAX_VALUE;
    for (int i = 0; i < servedRoutes.size(); i++) {
      for (int k = 0; k < KINDS.length; k++) {
        int laneIndex = i * KINDS.length + k;
        RequestState head =
            blockedLanes[laneIndex] ? null : servedRoutes.get(i).lane(KINDS[k]).head();
        if (head == null) {
          continue;
        }
        long headKey = sortKey(head, KINDS[k], servedRoutes.get(i));
        if (headKey < bestKey) {
          best = laneIndex;
          bestKey = headKey;
        }
      }
    }
    return best;
  }

  private static long sortKey(RequestState head, LaneKind kind, Route route) {
    return switch (kind) {
      case LATE ->
          route.isLateTurn(LATE_TURN_INTERVAL) ? head.arrivedAt : head.deadline + LATE_OFFSET_NANOS;
      default -> head.arrivedAt + (long) (kind.targetShare() * (head.targetAt - head.arrivedAt));
    };
  }

  private boolean startHead(Route route, LaneKind kind) {
    Lane lane = route.lane(kind);
    RequestState request = lane.head();
    Choice choice = mayStart(route, kind) ? core.placement.choose(request) : null;
    if (choice == null) {
      return false;
    }
    switch (core.queueing.feasibility(request, choice)) {
      case MEETS_TARGET -> {}
      case NEEDS_CAPACITY -> {
        return false;
      }
      default -> {
        core.queueing.targetMissed(request);
        return true;
      }
    }
    lane.serve(request);
    route.recordServed(kind);
    if (kind != LaneKind.LATE) {
      route.departures.recordDeparture(
          core.context.now(), route.queued() - route.lane(LaneKind.LATE).size());
    }
    request.attemptCount++;
    if (request.isPlain()) {
      core.plainFlow.start(request, choice);
    } else {
      startPrefill(request, choice);
    }
    request.failedUpstream = null;
    return true;
  }

  /**
   * Returns whether a lane may start a request. A late request must leave enough free decode slots
   * for the requests that can still meet their target.
   */
  private static boolean mayStart(Route route, LaneKind kind) {
    if (kind != LaneKind.LATE || route.isPlain() || route.isLateTurn(LATE_TURN_INTERVAL)) {
      return true;
    }
    CandidateSet decode = route.decode();
    return decode.unreserved() >= MIN_UNRESERVED_SHARE_FOR_LATE * decode.usable();
  }

  private void startPrefill(RequestState request, Choice choice) {
    UpstreamState engine = choice.upstream();
    long now = core.context.now();
    Attempt attempt = core.attempts.create(request, engine, AttemptKind.PREFILL, now);
    attempt.knownCachedTokens = engine.cache.knownTokens(request.prefixes());
    double cachedTokens = engine.cache.expectedTokens(request.prefixes());
    attempt.prefillTokens = (int) Math.max(1, request.contextTokens() - cachedTokens);
    attempt.resumeFrom = request.deliveredTokens;
    request.prefill = attempt;
    request.stage = RequestStage.PREFILLING;
    core.upstreams.attach(attempt);
    core.holdings.reserve(request, engine, choice.decode());
    core.queueing.setTimer(request);
    long timeoutNanos =
        Math.max(
            MIN_PREFILL_TIMEOUT_NANOS, PREFILL_TIMEOUT_FACTOR * Math.max(0, choice.firstNanos()));
    core.context.report(new Fact.Placed(request.id(), attempt.id, engine.name));
    core.context.emit(
        new Effect.StartPrefill(
            attempt.id,
            request.id(),
            engine.name,
            priority(request),
            request.deliveredTokens,
            Math.min(timeoutNanos, request.deadline - now)));
  }

  private void scheduleSweep() {
    if (sweep.isSet() || core.context.settings().queue() instanceof QueuePolicy.Immediate) {
      return;
    }
    for (int i = 0; i < servedRoutes.size(); i++) {
      if (servedRoutes.get(i).queued() > 0 || !servedRoutes.get(i).held.isEmpty()) {
        core.context.timers().set(sweep, core.context.now() + SWEEP_INTERVAL_NANOS);
        return;
      }
    }
  }

  /** Rechecks every upstream for capacity that becomes free by the passage of time only. */
  private void sweep() {
    core.upstreams.all().forEach(core.upstreams::capacityFreed);
    core.routes.all().forEach(core.upstreams::markReady);
  }
}
