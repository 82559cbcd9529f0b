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
 * Takes requests in, or refuses them before anything is done for them.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class Arrivals {
  private static final long NO_UPSTREAM_WAIT_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final Core core;
  private boolean stopping;

  Arrivals(Core core) {
    this.core = core;
  }

  /** The node stops: from now on every request is refused. */
  public void stop() {
    stopping = true;
  }

  /**
   * Tells whether the node stops.
   *
   * @return true if every request is refused
   */
  public boolean isStopping() {
    return stopping;
  }

  /**
   * Takes a request in or refuses it.
   *
   * @param call the request
   */
  public void arrive(Call call) {
    if (core.requests.containsKey(call.id())) {
      return;
    }
    RequestState request = newState(call);
    if (stopping) {
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
          NO_UPSTREAM_WAIT_NANOS,
          "Rule " + rule.get().name() + " has no upstream for the request.");
      return;
    }
    prepare(request, route.get());
    admit(request);
  }

  /**
   * Gives the requests of a route whose rule or last upstream is gone to other routes, or refuses
   * them.
   *
   * @param gone the route
   */
  public void reroute(Route gone) {
    for (Lane lane : gone.lanes.values()) {
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
      core.endings.giveUp(
          request,
          ErrorKind.NO_UPSTREAM,
          ErrorKind.UPSTREAM_FAILED,
          NO_UPSTREAM_WAIT_NANOS,
          "While the request waited, its rule or its last upstream was removed.");
      return;
    }
    request.route = route.get();
    core.queueing.enqueue(request);
  }

  private RequestState newState(Call call) {
    RequestState[] self = new RequestState[1];
    Runnable onTimer = () -> core.queueing.due(self[0]);
    self[0] = new RequestState(call, null, core.context.now(), onTimer);
    return self[0];
  }

  private void prepare(RequestState request, Route route) {
    Rule rule = route.rule();
    request.route = route;
    request.firstTarget = request.arrivedAt + rule.targets().firstToken().toNanos();
    long own = deadlineMillis(request.call);
    long nanos = own > 0 ? TimeUnit.MILLISECONDS.toNanos(own) : rule.targets().deadline().toNanos();
    request.deadline = request.arrivedAt + nanos;
    request.once = runsOnce(request.call, rule);
  }

  private void admit(RequestState request) {
    long wait =
        core.context.settings().queue() instanceof QueuePolicy.Immediate ? 0 : wait(request);
    boolean full = core.requests.size() >= core.context.settings().maxQueued();
    if (full || isHopeless(request, wait)) {
      refuse(request, ErrorKind.OVERLOADED, wait, "The queue is too long for the deadline.");
      return;
    }
    long limited = core.limiter.acquire(request.call);
    if (limited > 0) {
      refuse(
          request,
          ErrorKind.WORKSPACE_LIMIT,
          limited,
          "Workspace " + request.call.workspace() + " has reached its limit.");
      return;
    }
    core.requests.put(request.id(), request);
    request.route.arrived(request.call.promptTokens());
    core.budget.earn();
    if (request.once && request.call.runKey().isPresent()) {
      core.claims.claim(request);
    } else {
      core.queueing.enqueue(request);
    }
  }

  private boolean isHopeless(RequestState request, long wait) {
    if (wait == 0) {
      return false;
    }
    long target = request.route.isInteractive() ? request.firstTarget : request.deadline;
    long start = core.context.now() + wait;
    return start + core.predictor.bestCase(request) > Math.min(target, request.deadline);
  }

  private long wait(RequestState request) {
    Route route = request.route;
    int ahead = 0;
    for (LaneKind kind : LaneKind.values()) {
      if (kind != LaneKind.LATE) {
        ahead += route.lane(kind).ahead(request.call.workspace());
      }
    }
    return route.pace.wait(ahead);
  }

  private void refuse(RequestState request, ErrorKind kind, long wait, String detail) {
    core.endings.refuseArrival(request, kind, wait, detail);
  }

  private static long deadlineMillis(Call call) {
    return switch (call) {
      case Call.Completion completion -> completion.deadlineMillis();
      case Call.Plain plain -> plain.deadlineMillis();
    };
  }

  private static boolean runsOnce(Call call, Rule rule) {
    return switch (rule.repeatability()) {
      case NON_IDEMPOTENT -> true;
      case IDEMPOTENT -> false;
      case BY_METHOD -> call instanceof Call.Plain plain && !plain.idempotentMethod();
    };
  }
}
