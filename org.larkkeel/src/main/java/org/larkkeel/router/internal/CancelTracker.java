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
 * The cancels in progress: each is retried until it is acknowledged, its upstream has restarted, or
 * its upstream was removed and does not answer.
 *
 * <p>Invariant: each cancel has one timer. Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class CancelTracker {
  private static final int MAX_DOUBLINGS = 4;
  private static final int MAX_TRIES_WHEN_REMOVED = 20;

  private static final class PendingCancel {
    final AttemptId attempt;
    final RequestId request;
    final UpstreamState upstream;
    final Incarnation incarnation;
    Timer timer;
    int tries;

    PendingCancel(AttemptId attempt, RequestId request, UpstreamState upstream) {
      this.attempt = attempt;
      this.request = request;
      this.upstream = upstream;
      this.incarnation = upstream.incarnation();
    }
  }

  private final Context context;
  private final Map<AttemptId, PendingCancel> pending = new LinkedHashMap<>();

  /**
   * Creates a tracker without cancels.
   *
   * @param context the shared state of the router
   */
  public CancelTracker(Context context) {
    this.context = context;
  }

  /**
   * Cancels an attempt; does nothing if a cancel of it is in progress.
   *
   * @param attempt the attempt
   * @param request the request of the attempt
   * @param upstream the upstream of the attempt
   */
  public void cancel(AttemptId attempt, RequestId request, UpstreamState upstream) {
    if (pending.containsKey(attempt)) {
      return;
    }
    PendingCancel cancel = new PendingCancel(attempt, request, upstream);
    cancel.timer = new Timer(() -> send(cancel));
    pending.put(attempt, cancel);
    send(cancel);
  }

  /**
   * Handles the result of one try; schedules the next one if needed.
   *
   * @param attempt the attempt
   * @param outcome the result
   */
  public void settled(AttemptId attempt, CancelOutcome outcome) {
    PendingCancel cancel = pending.get(attempt);
    if (cancel == null) {
      return;
    }
    if (outcome == CancelOutcome.ACKNOWLEDGED || isExhausted(cancel)) {
      drop(cancel);
      return;
    }
    int doublings = Math.min(cancel.tries - 1, MAX_DOUBLINGS);
    long delayNanos = context.settings().cancelRetryNanos() << doublings;
    context.timers().set(cancel.timer, context.now() + delayNanos);
  }

  /**
   * Ends the cancels of earlier incarnations of a restarted upstream, which holds nothing of
   * theirs.
   *
   * @param upstream the upstream
   */
  public void restarted(UpstreamState upstream) {
    for (PendingCancel cancel : List.copyOf(pending.values())) {
      if (cancel.upstream == upstream && !upstream.incarnation().equals(cancel.incarnation)) {
        drop(cancel);
      }
    }
  }

  /**
   * Returns the number of cancels that are not yet acknowledged.
   *
   * @return the number
   */
  public int size() {
    return pending.size();
  }

  private void send(PendingCancel cancel) {
    cancel.tries++;
    context.emit(new Effect.Cancel(cancel.attempt, cancel.request, cancel.upstream.name));
  }

  private static boolean isExhausted(PendingCancel cancel) {
    return !cancel.upstream.isConfigured() && cancel.tries >= MAX_TRIES_WHEN_REMOVED;
  }

  private void drop(PendingCancel cancel) {
    pending.remove(cancel.attempt);
    context.timers().clear(cancel.timer);
  }
}
