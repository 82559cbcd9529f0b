/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

import java.util.concurrent.TimeUnit;
import org.larkkeel.effect.Effect;
import org.larkkeel.effect.Fact;

/**
 * Handles plain calls from their placement to the answer.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class PlainFlow {
  private static final long MIN_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final int TIMEOUT_FACTOR = 20;

  private final Core core;

  PlainFlow(Core core) {
    this.core = core;
  }

  void start(RequestState request, Choice choice) {
    long now = core.context.now();
    UpstreamState service = choice.upstream();
    Attempt attempt = core.attempts.create(request, service, AttemptKind.PLAIN, now);
    request.plain = attempt;
    request.stage = RequestStage.RUNNING;
    core.upstreams.attach(attempt);
    core.queueing.setTimer(request);
    core.context.report(new Fact.Placed(request.id(), attempt.id, service.name));
    core.context.emit(
        new Effect.SendPlain(
            attempt.id, request.id(), service.name, timeoutNanos(request, service, now)));
  }

  /**
   * Handles the complete answer of a service.
   *
   * @param attempt the attempt
   */
  public void done(Attempt attempt) {
    RequestState request = attempt.request;
    if (request.plain != attempt) {
      return;
    }
    attempt.upstream.speeds.recordService(core.context.now() - attempt.startedAt);
    core.upstreams.ejections().recordSuccess(attempt.upstream);
    request.plain = null;
    request.mayHaveRun = true;
    core.upstreams.detach(attempt);
    if (!request.claimed) {
      core.attempts.finish(attempt);
    }
    core.endings.complete(request, attempt);
  }

  /**
   * Returns the timeout of an attempt. A call that may be retried gets a timeout that leaves time
   * for a retry; an at-most-once call may use all the time to its deadline.
   */
  private static long timeoutNanos(RequestState request, UpstreamState service, long now) {
    long remainingNanos = request.deadline - now;
    if (request.atMostOnce) {
      return remainingNanos;
    }
    long expectedNanos = (long) (TIMEOUT_FACTOR * service.speeds.serviceNanos());
    return Math.min(remainingNanos, Math.max(MIN_TIMEOUT_NANOS, expectedNanos));
  }
}
