/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

import java.util.concurrent.TimeUnit;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.router.QueuePolicy;

/**
 * Adds requests to lanes and enforces their targets and deadlines while they wait.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
final class Queueing {
  private static final long EXPIRED_EXTRA_WAIT_NANOS = TimeUnit.SECONDS.toNanos(1);

  /**
   * The time after which a held KV cache is abandoned, as a multiple of the expected hold time: an
   * engine may hold it a little longer than expected.
   */
  private static final double MAX_HOLD_FACTOR = 1.4;

  private final Core core;

  Queueing(Core core) {
    this.core = core;
  }

  /** Adds a request to the lane for its state and size. */
  void enqueue(RequestState request) {
    request.stage = RequestStage.QUEUED;
    request.delayedUntil = 0;
    request.route.lane(laneKindOf(request)).add(request);
    core.upstreams.markReady(request.route);
    setTimer(request);
  }

  /** Adds a request to its lane after a delay. */
  void enqueueAfter(RequestState request, long delayNanos) {
    if (delayNanos <= 0) {
      enqueue(request);
      return;
    }
    request.stage = RequestStage.QUEUED;
    request.delayedUntil = core.context.now() + delayNanos;
    setTimer(request);
  }

  /**
   * Sets the timer of a request to the next time at which its stage or the deadline needs a check.
   */
  void setTimer(RequestState request) {
    core.context.timers().set(request.timer, Math.min(request.deadline, nextCheckAt(request)));
  }

  /** Handles the timer of a request. */
  void timerFired(RequestState request) {
    long now = core.context.now();
    if (request.stage == RequestStage.RECORDING) {
      core.endings.answerCaller(request);
      return;
    }
    if (now >= request.deadline) {
      expire(request);
      return;
    }
    switch (request.stage) {
      case QUEUED -> timerFiredInQueue(request);
      case KV_HELD -> core.decodeFlow.holdTimeEnded(request);
      default -> setTimer(request);
    }
  }

  /** Returns the latest time at which a request can be placed to meet its target. */
  long latestStartForTarget(RequestState request) {
    return request.targetAt - core.predictor.minFirstNanos(request);
  }

  /** The predicted result of starting a request at the chosen upstreams. */
  enum Feasibility {
    /** The request meets its target, or has no target that is still enforced. */
    MEETS_TARGET,
    /** The request could meet its target only at an upstream without free capacity now. */
    NEEDS_CAPACITY,
    /** The request can't meet its target, or not even its deadline, at any upstream. */
    MISSES_TARGET
  }

  /** Predicts whether a request meets its target and its deadline at the chosen upstreams. */
  Feasibility feasibility(RequestState request, Choice choice) {
    if (!(core.context.settings().queue() instanceof QueuePolicy.ByDeadline)) {
      return Feasibility.MEETS_TARGET;
    }
    long now = core.context.now();
    boolean idleService = isToIdleService(request, choice);
    if (request.deliveredTokens == 0
        && !idleService
        && now + choice.totalNanos() > request.deadline) {
      return now > latestStartForDeadline(request)
          ? Feasibility.MISSES_TARGET
          : Feasibility.NEEDS_CAPACITY;
    }
    long firstAt = idleService ? now : now + choice.firstNanos();
    if (!enforcesTarget(request) || firstAt <= request.targetAt) {
      return Feasibility.MEETS_TARGET;
    }
    return now > latestStartForTarget(request)
        ? Feasibility.MISSES_TARGET
        : Feasibility.NEEDS_CAPACITY;
  }

  /**
   * Returns whether a plain call would go to an idle service. Such a call starts whatever the
   * estimate says: an estimate that is too long, for example one measured while this node was
   * paused, would otherwise get no sample that corrects it.
   */
  private static boolean isToIdleService(RequestState request, Choice choice) {
    return request.isPlain() && choice.upstream().attempts.isEmpty();
  }

  /** Returns the latest time at which a request can be placed to meet its deadline. */
  private long latestStartForDeadline(RequestState request) {
    return request.deadline - core.predictor.minTotalNanos(request);
  }

  private void timerFiredInQueue(RequestState request) {
    if (request.delayedUntil != 0) {
      enqueue(request);
      return;
    }
    long now = core.context.now();
    if (now >= latestStartForDeadline(request)
        || (enforcesTarget(request) && now >= latestStartForTarget(request))) {
      targetMissed(request);
      return;
    }
    setTimer(request);
  }

  /** Handles a waiting request that can't meet its target. */
  void targetMissed(RequestState request) {
    if (core.context.now() >= latestStartForDeadline(request)) {
      expire(request);
      return;
    }
    if (request.route.isInteractive() && request.attemptCount == 0) {
      long retryAfterNanos = request.route.departures.predictedWaitNanos(request.route.queued());
      core.endings.fail(
          request,
          ErrorKind.OVERLOADED,
          ErrorKind.UPSTREAM_FAILED,
          retryAfterNanos,
          "The first token can't come in time: the queue is too long.");
      return;
    }
    request.lane.remove(request);
    request.late = true;
    enqueue(request);
  }

  private void expire(RequestState request) {
    long retryAfterNanos =
        request.route.departures.predictedWaitNanos(request.route.queued())
            + EXPIRED_EXTRA_WAIT_NANOS;
    core.endings.fail(
        request,
        ErrorKind.EXPIRED_IN_QUEUE,
        ErrorKind.DEADLINE_EXCEEDED,
        retryAfterNanos,
        "The deadline passed.");
  }

  private long nextCheckAt(RequestState request) {
    return switch (request.stage) {
      case QUEUED -> nextCheckInQueueAt(request);
      case KV_HELD ->
          request.kvHeldSince + (long) (MAX_HOLD_FACTOR * core.context.settings().kvHoldNanos());
      default -> request.deadline;
    };
  }

  private long nextCheckInQueueAt(RequestState request) {
    if (request.delayedUntil != 0) {
      return request.delayedUntil;
    }
    long latestStart = latestStartForDeadline(request);
    return enforcesTarget(request)
        ? Math.min(latestStart, latestStartForTarget(request))
        : latestStart;
  }

  /**
   * Returns whether a waiting request is refused or moved to the late lane when it misses its
   * target.
   */
  private boolean enforcesTarget(RequestState request) {
    return !request.late
        && request.attemptCount == 0
        && core.context.settings().queue() instanceof QueuePolicy.ByDeadline;
  }

  private LaneKind laneKindOf(RequestState request) {
    if (request.attemptCount > 0) {
      return LaneKind.RETRY;
    }
    if (request.late) {
      return LaneKind.LATE;
    }
    int tokens = request.contextTokens();
    if (tokens <= core.context.settings().smallPromptTokens()) {
      return LaneKind.SMALL;
    }
    return LaneKind.ofSize(tokens, request.route.meanPromptTokens());
  }
}
