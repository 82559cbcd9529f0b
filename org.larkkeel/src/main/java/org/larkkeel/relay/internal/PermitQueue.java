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
 * Calls that need no memory and whose upstreams have all used their limits up.
 *
 * <p>They wait for a permit for a part of their target, the most urgent first; one that can have
 * none by then is told at once when to come back. Not safe for use by several threads.
 */
final class PermitQueue {
  /** The part of a call's target that it may wait. */
  private static final double PATIENCE = 0.4;

  private static final Comparator<CallState> ORDER =
      Comparator.comparingInt((CallState c) -> c.rule.priority())
          .thenComparingLong(c -> c.arrivedAt);

  private final Parts parts;
  private final List<CallState> waiting = new ArrayList<>();

  PermitQueue(Parts parts) {
    this.parts = parts;
  }

  /**
   * Lets a call wait, or tells its caller when to come back.
   *
   * @param permitAt when the first of its upstreams takes requests again
   */
  void await(long at, CallState c, long permitAt) {
    long until = Math.min(c.deadline, at + (long) (PATIENCE * c.targetNanos()));
    if (permitAt > until) {
      refuse(at, c, permitAt);
      return;
    }
    c.awaitsPermit = true;
    c.permitUntil = until;
    waiting.add(c);
    parts.timers.add(new Timers.Due.Permit(until, c.call.id()));
    parts.report(new RelayFact.PermitAwaited(c.call.wireId(), c.service.value(), until - at));
  }

  private void refuse(long at, CallState c, long permitAt) {
    long millis = RoomTimes.restMillis(at, permitAt, parts.random);
    parts.open.giveUp(at, c, ErrorKind.OVERLOADED, millis, RoomTimes.closed(c.service));
  }

  /** The coordinator has answered: calls go on for which there is a permit, or are refused. */
  void granted(long at) {
    for (CallState c : waiting.stream().sorted(ORDER).toList()) {
      look(at, c, c.permitUntil);
    }
  }

  private void look(long at, CallState c, long until) {
    if (!c.awaitsPermit) {
      return;
    }
    OptionalLong opens = parts.fleet.takesWorkAt(at, c.service, c.without);
    if (opens.isEmpty()) {
      remove(c);
      parts.dispatch.run(at, c);
    } else if (opens.getAsLong() > until) {
      refuse(at, c, opens.getAsLong());
    }
  }

  /** A call has waited for long enough. */
  void due(long at, CallState c) {
    look(at, c, Long.MIN_VALUE);
  }

  /** A call waits no more. */
  void remove(CallState c) {
    if (c.awaitsPermit) {
      c.awaitsPermit = false;
      waiting.remove(c);
    }
  }
}
