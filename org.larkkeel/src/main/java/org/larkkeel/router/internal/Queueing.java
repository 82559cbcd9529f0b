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
 * Puts requests into lanes and watches their times.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
final class Queueing {
  private static final long HOPELESS_WAIT_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** The KV cache may be there a little longer than is counted on. */
  private static final double HOLD_LIMIT = 1.4;

  private final Core core;

  Queueing(Core core) {
    this.core = core;
  }

  /** Puts a request into the lane that it belongs to. */
  void enqueue(RequestState request) {
    request.stage = RequestStage.QUEUED;
    request.delayedUntil = 0;
    request.route.lane(laneOf(request)).add(request);
    core.fleet.ready(request.route);
    arm(request);
  }

  /** Puts a request into its lane after a delay. */
  void enqueueAfter(RequestState request, long delayNanos) {
    if (delayNanos <= 0) {
      enqueue(request);
      return;
    }
    request.stage = RequestStage.QUEUED;
    request.delayedUntil = core.context.now() + delayNanos;
    arm(request);
  }

  /** Sets the timer of a request to the next moment that matters to it. */
  void arm(RequestState request) {
    core.context.timers().set(request.timer, Math.min(request.deadline, nextMoment(request)));
  }

  /** The timer of a request was due. */
  void due(RequestState request) {
    long now = core.context.now();
    if (request.stage == RequestStage.RECORDING) {
      core.endings.answer(request);
      return;
    }
    if (now >= request.deadline) {
      expire(request);
      return;
    }
    switch (request.stage) {
      case QUEUED -> dueInQueue(request);
      case PLACED -> core.decodeFlow.holdEnded(request);
      default -> arm(request);
    }
  }

  /** When an unplaced request must be placed to meet its target. */
  long latestStart(RequestState request) {
    return request.firstTarget - core.predictor.bestCase(request);
  }

  /** What a choice promises a request that waits. */
  enum Prospect {
    /** It meets its target, or has none to meet any more. */
    IN_TIME,
    /** It would meet its target only at an upstream that has no room now. */
    LATER,
    /** It can't meet its target, or not even its deadline. */
    MISSED
  }

  /** Tells whether a request is in time at the upstreams chosen for it. */
  Prospect prospect(RequestState request, Choice choice) {
    if (!(core.context.settings().queue() instanceof QueuePolicy.ByDeadline)) {
      return Prospect.IN_TIME;
    }
    long now = core.context.now();
    boolean trial = isTrial(request, choice);
    if (request.tokens == 0 && !trial && now + choice.lastNanos() > request.deadline) {
      return now > latestToEnd(request) ? Prospect.MISSED : Prospect.LATER;
    }
    long first = trial ? now : now + choice.firstNanos();
    if (!sheds(request) || first <= request.firstTarget) {
      return Prospect.IN_TIME;
    }
    return now > latestStart(request) ? Prospect.MISSED : Prospect.LATER;
  }

  /**
   * Tells whether a plain call goes to an idle service. No estimate rules that out: one that did,
   * such as one learnt while this node was paused, would get no sample that corrects it.
   */
  private static boolean isTrial(RequestState request, Choice choice) {
    return request.isPlain() && choice.first().attempts.isEmpty();
  }

  /** When an unplaced request must be placed to be answered before its deadline. */
  private long latestToEnd(RequestState request) {
    return request.deadline - core.predictor.bestCaseToEnd(request);
  }

  private void dueInQueue(RequestState request) {
    if (request.delayedUntil != 0) {
      enqueue(request);
      return;
    }
    long now = core.context.now();
    if (now >= latestToEnd(request) || (sheds(request) && now >= latestStart(request))) {
      missed(request);
      return;
    }
    arm(request);
  }

  /** A request that waits can't meet its target any more. */
  void missed(RequestState request) {
    if (core.context.now() >= latestToEnd(request)) {
      expire(request);
      return;
    }
    if (request.route.isInteractive() && request.attempts == 0) {
      long wait = request.route.pace.wait(request.route.queued());
      core.endings.giveUp(
          request,
          ErrorKind.OVERLOADED,
          ErrorKind.UPSTREAM_FAILED,
          wait,
          "The first token can't come in time: the queue is too long.");
      return;
    }
    request.lane.remove(request);
    request.late = true;
    enqueue(request);
  }

  private void expire(RequestState request) {
    long wait = request.route.pace.wait(request.route.queued()) + HOPELESS_WAIT_NANOS;
    core.endings.giveUp(
        request,
        ErrorKind.EXPIRED_IN_QUEUE,
        ErrorKind.DEADLINE_EXCEEDED,
        wait,
        "The deadline passed.");
  }

  private long nextMoment(RequestState request) {
    return switch (request.stage) {
      case QUEUED -> nextMomentInQueue(request);
      case PLACED ->
          request.heldSince + (long) (HOLD_LIMIT * core.context.settings().kvHoldNanos());
      default -> request.deadline;
    };
  }

  private long nextMomentInQueue(RequestState request) {
    if (request.delayedUntil != 0) {
      return request.delayedUntil;
    }
    long last = latestToEnd(request);
    return sheds(request) ? Math.min(last, latestStart(request)) : last;
  }

  /** Whether a request that waits is refused or served late once it misses its target. */
  private boolean sheds(RequestState request) {
    return !request.late
        && request.attempts == 0
        && core.context.settings().queue() instanceof QueuePolicy.ByDeadline;
  }

  private LaneKind laneOf(RequestState request) {
    if (request.attempts > 0) {
      return LaneKind.AGAIN;
    }
    if (request.late) {
      return LaneKind.LATE;
    }
    int tokens = request.contextTokens();
    if (tokens <= core.context.settings().smallPromptTokens()) {
      return LaneKind.SMALL;
    }
    return LaneKind.ofSize(tokens, request.route.usualPrompt());
  }
}
