/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.larkkeel.call.Call;
import org.larkkeel.config.Rule;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.router.QueuePolicy;

/**
 * Admits requests, or refuses them before any effect is emitted for them.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class Arrivals {
  private static final long NO_UPSTREAM_RETRY_AFTER_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final Core core;
  private boolean draining;

  Arrivals(Core core) {
    this.core = core;
  }

  /** Starts to refuse every new request, as the node drains. */
  public void drain() {
    draining = true;
  }

  /**
   * Returns whether the node drains.
   *
   * @return true if every new request is refused
   */
  public boolean isDraining() {
    return draining;
  }

  /**
   * Admits or refuses a request; ignores it if its id is already in progress.
   *
   * @param call the request
   */
  public void arrive(Call call) {
    if (core.requests.containsKey(call.id())) {
      return;
    }
    RequestState request = newState(call);
    if (draining) {
      refuse(request, ErrorKind.NOT_READY, 0, "This node stops.");
      return;
    }
    Optional<Rule> rule = core.routes.rule(call);
    if (rule.isEmpty()) {
      refuse(request, ErrorKind.NO_RULE, 0, "No routing rule matches the request.");
      return;
    }
    Optional<Route> route = core.routes.route(call, rule.get());
    if (route.isEmpty() || !route.get().hasUpstreams()) {
      refuse(
          request,
          ErrorKind.NO_UPSTREAM,
          NO_UPSTREAM_RETRY_AFTER_NANOS,
          "Rule " + rule.get().name() + " has no upstream for the request.");
      return;
    }
    initialize(request, route.get());
    admit(request);
  }

  /**
   * Moves the queued requests of a route that lost its rule or its last upstream to other routes,
   * or fails them.
   *
   * @param oldRoute the route
   */
  public void reroute(Route oldRoute) {
    for (Lane lane : oldRoute.lanes.values()) {
      while (lane.head() != null) {
        RequestState request = lane.head();
        lane.remove(request);
        reroute(request);
      }
    }
  }

  private void reroute(RequestState request) {
    Optional<Route> route =
        core.routes.rule(request.call).flatMap(rule -> core.routes.route(request.call, rule));
    if (route.isEmpty() || !route.get().hasUpstreams()) {
      core.endings.fail(
          request,
          ErrorKind.NO_UPSTREAM,
          ErrorKind.UPSTREAM_FAILED,
          NO_UPSTREAM_RETRY_AFTER_NANOS,
          "While the request waited, its rule or its last upstream was removed.");
      return;
    }
    request.route = route.get();
    core.queueing.enqueue(request);
  }

  private RequestState newState(Call call) {
    RequestState[] self = new RequestState[1];
    Runnable onTimer = () -> core.queueing.timerFired(self[0]);
    self[0] = new RequestState(call, null, core.context.now(), onTimer);
    return self[0];
  }

  private void initialize(RequestState request, Route route) {
    Rule rule = route.rule();
    request.route = route;
    request.targetAt = request.arrivedAt + rule.targets().firstToken().toNanos();
    long requestedMillis = deadlineMillis(request.call);
    long deadlineNanos =
        requestedMillis > 0
            ? TimeUnit.MILLISECONDS.toNanos(requestedMillis)
            : rule.targets().deadline().toNanos();
    request.deadline = request.arrivedAt + deadlineNanos;
    request.atMostOnce = isAtMostOnce(request.call, rule);
  }

  private void admit(RequestState request) {
    long waitNanos =
        core.context.settings().queue() instanceof QueuePolicy.Immediate
            ? 0
            : predictedWaitNanos(request);
    boolean full = core.requests.size() >= core.context.settings().maxQueued();
    if (full || wouldMissTarget(request, waitNanos)) {
      refuse(request, ErrorKind.OVERLOADED, waitNanos, "The queue is too long for the deadline.");
      return;
    }
    long limitWaitNanos = core.limiter.acquire(request.call);
    if (limitWaitNanos > 0) {
      refuse(
          request,
          ErrorKind.WORKSPACE_LIMIT,
          limitWaitNanos,
          "Workspace " + request.call.workspace() + " has reached its limit.");
      return;
    }
    core.requests.put(request.id(), request);
    request.route.recordArrival(request.call.promptTokens());
    core.retryBudget.deposit();
    if (request.atMostOnce && request.call.runKey().isPresent()) {
      core.claims.claim(request);
    } else {
      core.queueing.enqueue(request);
    }
  }

  /** Returns whether a request with a predicted wait would miss its target or its deadline. */
  private boolean wouldMissTarget(RequestState request, long waitNanos) {
    if (waitNanos == 0) {
      return false;
    }
    long targetAt = request.route.isInteractive() ? request.targetAt : request.deadline;
    long startAt = core.context.now() + waitNanos;
    return startAt + core.predictor.minFirstNanos(request) > Math.min(targetAt, request.deadline);
  }

  private long predictedWaitNanos(RequestState request) {
    Route route = request.route;
    int ahead = 0;
    for (LaneKind kind : LaneKind.values()) {
      if (kind != LaneKind.LATE) {
        ahead += route.lane(kind).ahead(request.call.workspace());
      }
    }
    return route.departures.predictedWaitNanos(ahead);
  }

  private void refuse(RequestState request, ErrorKind kind, long retryAfterNanos, String detail) {
    core.endings.refuseArrival(request, kind, retryAfterNanos, detail);
  }

  private static long deadlineMillis(Call call) {
    return switch (call) {
      case Call.Completion completion -> completion.deadlineMillis();
      case Call.Plain plain -> plain.deadlineMillis();
    };
  }

  private static boolean isAtMostOnce(Call call, Rule rule) {
    return switch (rule.repeatability()) {
      case NON_IDEMPOTENT -> true;
      case IDEMPOTENT -> false;
      case BY_METHOD -> call instanceof Call.Plain plain && !plain.idempotentMethod();
    };
  }
}
