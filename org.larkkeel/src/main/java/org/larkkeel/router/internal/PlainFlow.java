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
 * Follows plain calls from their placement to the answer.
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
    UpstreamState service = choice.first();
    Attempt attempt = core.attempts.create(request, service, AttemptKind.PLAIN, now);
    request.plain = attempt;
    request.stage = RequestStage.RUNNING;
    core.fleet.attach(attempt);
    core.queueing.arm(request);
    core.context.report(new Fact.Placed(request.id(), attempt.id, service.name));
    core.context.emit(
        new Effect.SendPlain(
            attempt.id, request.id(), service.name, timeout(request, service, now)));
  }

  /**
   * A service answered in full.
   *
   * @param attempt the attempt
   */
  public void done(Attempt attempt) {
    RequestState request = attempt.request;
    if (request.plain != attempt) {
      return;
    }
    attempt.upstream.rates.served(core.context.now() - attempt.startedAt);
    core.fleet.ejections().succeeded(attempt.upstream);
    request.plain = null;
    request.mayHaveRun = true;
    core.fleet.detach(attempt);
    if (!request.claimed) {
      core.attempts.finish(attempt);
    }
    core.endings.complete(request, attempt);
  }

  /** A call that may be repeated is given up early enough to be repeated. */
  private static long timeout(RequestState request, UpstreamState service, long now) {
    long left = request.deadline - now;
    if (request.once) {
      return left;
    }
    long usual = (long) (TIMEOUT_FACTOR * service.rates.serviceNanos());
    return Math.min(left, Math.max(MIN_TIMEOUT_NANOS, usual));
  }
}
