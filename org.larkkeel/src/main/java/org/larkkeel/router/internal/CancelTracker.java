/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.larkkeel.effect.Effect;
import org.larkkeel.event.CancelOutcome;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.lib.RequestId;

/**
 * Cancels that are repeated until they are acknowledged or the upstream has started anew.
 *
 * <p>Invariant: one timer a cancel that waits. Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class CancelTracker {
  private static final int MAX_DOUBLINGS = 4;
  private static final int MAX_TRIES_WHEN_REMOVED = 20;

  private static final class Pending {
    final AttemptId attempt;
    final RequestId request;
    final UpstreamState upstream;
    final Incarnation incarnation;
    Timer timer;
    int tries;

    Pending(AttemptId attempt, RequestId request, UpstreamState upstream) {
      this.attempt = attempt;
      this.request = request;
      this.upstream = upstream;
      this.incarnation = upstream.incarnation();
    }
  }

  private final Context context;
  private final Map<AttemptId, Pending> pending = new LinkedHashMap<>();

  /**
   * Creates a tracker without cancels.
   *
   * @param context what the parts of the router share
   */
  public CancelTracker(Context context) {
    this.context = context;
  }

  /**
   * Cancels an attempt; does nothing if that is under way.
   *
   * @param attempt the attempt
   * @param request its request
   * @param upstream where it is
   */
  public void cancel(AttemptId attempt, RequestId request, UpstreamState upstream) {
    if (pending.containsKey(attempt)) {
      return;
    }
    Pending cancel = new Pending(attempt, request, upstream);
    cancel.timer = new Timer(() -> send(cancel));
    pending.put(attempt, cancel);
    send(cancel);
  }

  /**
   * Takes the result of a try.
   *
   * @param attempt the attempt
   * @param outcome the result
   */
  public void settled(AttemptId attempt, CancelOutcome outcome) {
    Pending cancel = pending.get(attempt);
    if (cancel == null) {
      return;
    }
    if (outcome == CancelOutcome.ACKNOWLEDGED || isHopeless(cancel)) {
      drop(cancel);
      return;
    }
    int doublings = Math.min(cancel.tries - 1, MAX_DOUBLINGS);
    long delay = context.settings().cancelRetryNanos() << doublings;
    context.timers().set(cancel.timer, context.now() + delay);
  }

  /**
   * An upstream started anew, so nothing of before is held there.
   *
   * @param upstream the upstream
   */
  public void restarted(UpstreamState upstream) {
    for (Pending cancel : List.copyOf(pending.values())) {
      if (cancel.upstream == upstream && !upstream.incarnation().equals(cancel.incarnation)) {
        drop(cancel);
      }
    }
  }

  /**
   * The number of cancels that are not yet acknowledged.
   *
   * @return a count
   */
  public int size() {
    return pending.size();
  }

  private void send(Pending cancel) {
    cancel.tries++;
    context.emit(new Effect.Cancel(cancel.attempt, cancel.request, cancel.upstream.name));
  }

  private static boolean isHopeless(Pending cancel) {
    return !cancel.upstream.isConfigured() && cancel.tries >= MAX_TRIES_WHEN_REMOVED;
  }

  private void drop(Pending cancel) {
    pending.remove(cancel.attempt);
    context.timers().clear(cancel.timer);
  }
}
