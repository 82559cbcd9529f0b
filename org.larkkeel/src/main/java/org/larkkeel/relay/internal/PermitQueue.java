/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalLong;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.relay.RelayFact;

/**
 * Queues calls that need no memory and whose upstreams have all used up their rate limits.
 *
 * <p>A call waits for a permit for a part of its target, the most urgent call first; a call that
 * cannot get one by then is refused immediately with a Retry-After. Not thread-safe.
 */
final class PermitQueue {
  /** The share of a call's target for which it may wait. */
  private static final double MAX_WAIT_SHARE = 0.4;

  private static final Comparator<CallState> ORDER =
      Comparator.comparing((CallState c) -> c.rank).thenComparingLong(c -> c.arrivedAt);

  private final Core core;
  private final List<CallState> waiting = new ArrayList<>();

  PermitQueue(Core core) {
    this.core = core;
  }

  /**
   * Queues a call, or refuses it with a Retry-After.
   *
   * @param permitAt the time at which the first of its upstreams accepts requests again
   */
  void await(long at, CallState c, long permitAt) {
    long until = Math.min(c.deadline, at + (long) (MAX_WAIT_SHARE * c.targetNanos()));
    if (permitAt > until) {
      refuse(at, c, permitAt);
      return;
    }
    c.awaitsPermit = true;
    c.permitWaitUntil = until;
    waiting.add(c);
    core.timers.add(new Timers.Timer.PermitTimeout(until, c.call.id()));
    core.report(new RelayFact.PermitAwaited(c.call.wireId(), c.service.value(), until - at));
  }

  private void refuse(long at, CallState c, long permitAt) {
    long millis = ReservationTimeouts.retryAfterBackoffMillis(at, permitAt, core.random);
    core.openCalls.fail(
        at, c, ErrorKind.OVERLOADED, millis, ReservationTimeouts.notAcceptingDetail(c.service));
  }

  /**
   * Handles a grant of the quota coordinator: sends the calls for which there is a permit, and
   * refuses those that cannot get one in time.
   */
  void granted(long at) {
    for (CallState c : waiting.stream().sorted(ORDER).toList()) {
      check(at, c, c.permitWaitUntil);
    }
  }

  private void check(long at, CallState c, long until) {
    if (!c.awaitsPermit) {
      return;
    }
    OptionalLong opensAt = core.upstreams.availability().acceptsWorkAt(at, c);
    if (opensAt.isEmpty()) {
      remove(c);
      core.dispatch.run(at, c);
    } else if (opensAt.getAsLong() > until) {
      refuse(at, c, opensAt.getAsLong());
    }
  }

  /**
   * Handles the end of a call's maximum wait: sends the call if there is a permit, else refuses it.
   */
  void waitEnded(long at, CallState c) {
    check(at, c, Long.MIN_VALUE);
  }

  /** Removes a call that waits for a permit; does nothing for another. */
  void remove(CallState c) {
    if (c.awaitsPermit) {
      c.awaitsPermit = false;
      waiting.remove(c);
    }
  }
}
