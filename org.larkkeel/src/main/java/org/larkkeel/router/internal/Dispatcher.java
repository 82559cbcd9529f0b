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
 * Serves requests that wait: first those with a KV cache that is held, then the lanes by deadline.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class Dispatcher {
  private static final LaneKind[] KINDS = LaneKind.values();
  private static final long SWEEP_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
  private static final long LATE_OFFSET = TimeUnit.HOURS.toNanos(1);
  private static final int LATE_EVERY = 50;
  private static final double LATE_SPARE = 0.1;
  private static final int PRIORITY_AGAIN = 0;
  private static final int PRIORITY_SMALL = 1;
  private static final int PRIORITY_INTERACTIVE = 2;
  private static final int PRIORITY_PATIENT = 3;
  private static final long MIN_PREFILL_TIMEOUT = TimeUnit.SECONDS.toNanos(2);
  private static final int TIMEOUT_FACTOR = 5;

  private final Core core;
  private final Timer sweep;
  private final List<Route> routes = new ArrayList<>();
  private final List<Route> full = new ArrayList<>();
  private boolean[] blocked = new boolean[KINDS.length];

  Dispatcher(Core core) {
    this.core = core;
    this.sweep = new Timer(this::sweep);
  }

  /** Serves the routes that are ready, until nothing more can be placed. */
  public void run() {
    if (core.fleet.ready().isEmpty()) {
      return;
    }
    routes.clear();
    for (Route route : core.fleet.ready()) {
      if (!route.held.isEmpty() || route.queued() > 0) {
        routes.add(route);
      }
    }
    core.fleet.ready().clear();
    serveHeld();
    serveLanes();
    watch();
  }

  /**
   * The priority of a request inside an engine.
   *
   * @param request the request
   * @return lower runs earlier
   */
  int priority(RequestState request) {
    if (request.attempts > 1) {
      return PRIORITY_AGAIN;
    }
    if (request.contextTokens() <= core.context.settings().smallPromptTokens()) {
      return PRIORITY_SMALL;
    }
    return request.route.isInteractive() ? PRIORITY_INTERACTIVE : PRIORITY_PATIENT;
  }

  private void serveHeld() {
    full.clear();
    RequestState oldest = oldestHeld();
    while (oldest != null) {
      if (!core.decodeFlow.tryTransfer(oldest)) {
        full.add(oldest.route);
      }
      oldest = oldestHeld();
    }
  }

  private RequestState oldestHeld() {
    RequestState oldest = null;
    for (int i = 0; i < routes.size(); i++) {
      Route route = routes.get(i);
      if (route.held.isEmpty() || full.contains(route)) {
        continue;
      }
      RequestState head = route.held.values().iterator().next();
      if (oldest == null || head.heldSince < oldest.heldSince) {
        oldest = head;
      }
    }
    return oldest;
  }

  private void serveLanes() {
    int places = routes.size() * KINDS.length;
    if (blocked.length < places) {
      blocked = new boolean[places];
    }
    Arrays.fill(blocked, 0, places, false);
    int best = firstPlace();
    while (best >= 0) {
      Route route = routes.get(best / KINDS.length);
      LaneKind kind = KINDS[best % KINDS.length];
      if (!start(route, kind)) {
        blocked[best] = true;
      }
      best = firstPlace();
    }
  }

  private int firstPlace() {
    int best = -1;
    long bestKey = Long.MAX_VALUE;
    for (int i = 0; i < routes.size(); i++) {
      for (int k = 0; k < KINDS.length; k++) {
        int place = i * KINDS.length + k;
        RequestState head = blocked[place] ? null : routes.get(i).lane(KINDS[k]).head();
        if (head == null) {
          continue;
        }
        long key = key(head, KINDS[k], routes.get(i));
        if (key < bestKey) {
          best = place;
          bestKey = key;
        }
      }
    }
    return best;
  }

  private static long key(RequestState head, LaneKind kind, Route route) {
    return switch (kind) {
      case LATE -> route.isTurnOfLate(LATE_EVERY) ? head.arrivedAt : head.deadline + LATE_OFFSET;
      default -> head.arrivedAt + (long) (kind.patience() * (head.firstTarget - head.arrivedAt));
    };
  }

  private boolean start(Route route, LaneKind kind) {
    Lane lane = route.lane(kind);
    RequestState request = lane.head();
    Choice choice = mayStart(route, kind) ? core.placement.choose(request) : null;
    if (choice == null) {
      return false;
    }
    switch (core.queueing.prospect(request, choice)) {
      case IN_TIME -> {}
      case LATER -> {
        return false;
      }
      default -> {
        core.queueing.missed(request);
        return true;
      }
    }
    lane.serve(request);
    route.served(kind);
    if (kind != LaneKind.LATE) {
      route.pace.left(core.context.now(), route.queued() - route.lane(LaneKind.LATE).size());
    }
    request.attempts++;
    if (request.isPlain()) {
      core.plainFlow.start(request, choice);
    } else {
      startPrefill(request, choice);
    }
    request.avoid = null;
    return true;
  }

  /** A late request must not take what the next one in time needs. */
  private static boolean mayStart(Route route, LaneKind kind) {
    if (kind != LaneKind.LATE || route.isPlain() || route.isTurnOfLate(LATE_EVERY)) {
      return true;
    }
    CandidateSet decode = route.decode();
    return decode.spare() >= LATE_SPARE * decode.usable();
  }

  private void startPrefill(RequestState request, Choice choice) {
    UpstreamState engine = choice.first();
    long now = core.context.now();
    Attempt attempt = core.attempts.create(request, engine, AttemptKind.PREFILL, now);
    attempt.believed = engine.cache.believed(request.prefixes());
    double cached = engine.cache.expected(request.prefixes());
    attempt.tokens = (int) Math.max(1, request.contextTokens() - cached);
    attempt.resumeFrom = request.tokens;
    request.prefill = attempt;
    request.stage = RequestStage.PREFILLING;
    core.fleet.attach(attempt);
    core.holdings.promise(request, engine, choice.decode());
    core.queueing.arm(request);
    long timeout = Math.max(MIN_PREFILL_TIMEOUT, TIMEOUT_FACTOR * Math.max(0, choice.firstNanos()));
    core.context.report(new Fact.Placed(request.id(), attempt.id, engine.name));
    core.context.emit(
        new Effect.StartPrefill(
            attempt.id,
            request.id(),
            engine.name,
            priority(request),
            request.tokens,
            Math.min(timeout, request.deadline - now)));
  }

  private void watch() {
    if (sweep.isSet() || core.context.settings().queue() instanceof QueuePolicy.Immediate) {
      return;
    }
    for (int i = 0; i < routes.size(); i++) {
      if (routes.get(i).queued() > 0 || !routes.get(i).held.isEmpty()) {
        core.context.timers().set(sweep, core.context.now() + SWEEP_NANOS);
        return;
      }
    }
  }

  /** Looks at every upstream again, for room that came with time alone. */
  private void sweep() {
    core.fleet.all().forEach(core.fleet::gained);
    core.routes.all().forEach(core.fleet::ready);
  }
}
