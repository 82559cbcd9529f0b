/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.fake;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * The virtual time of one run, which runs scheduled actions in the order of their time, and actions
 * with equal times in the order of scheduling.
 *
 * <p>Invariant: the time never decreases. Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class Timeline {
  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(
          Comparator.comparingLong((Timer t) -> t.at).thenComparingLong(t -> t.sequence));
  private long now;
  private long sequence;

  /** One scheduled action. */
  public static final class Timer {
    private final long at;
    private final long sequence;
    private Runnable action;

    private Timer(long at, long sequence, Runnable action) {
      this.at = at;
      this.sequence = sequence;
      this.action = action;
    }

    /** Prevents the action from running; has no effect after it ran. */
    public void cancel() {
      action = null;
    }
  }

  /**
   * Creates a timeline.
   *
   * @param start the initial time in nanoseconds
   */
  public Timeline(long start) {
    now = start;
  }

  /**
   * Returns the current time.
   *
   * @return nanoseconds
   */
  public long now() {
    return now;
  }

  /**
   * Schedules an action.
   *
   * @param time the time in nanoseconds; a time in the past means now
   * @param action the action
   * @return a timer that can cancel the action
   */
  public Timer at(long time, Runnable action) {
    Timer timer = new Timer(Math.max(now, time), sequence++, action);
    timers.add(timer);
    return timer;
  }

  /**
   * Schedules an action after a delay.
   *
   * @param delay the delay in nanoseconds
   * @param action the action
   * @return a timer that can cancel the action
   */
  public Timer after(long delay, Runnable action) {
    return at(now + delay, action);
  }

  /**
   * Runs all actions that are due up to a time, and advances to that time.
   *
   * @param end the last time in nanoseconds, inclusive
   */
  public void runUntil(long end) {
    while (!timers.isEmpty() && timers.peek().at <= end) {
      Timer timer = timers.poll();
      if (timer.action != null) {
        now = timer.at;
        timer.action.run();
      }
    }
    now = Math.max(now, end);
  }

  /** Cancels a timer that may be null. */
  static void cancel(Timer timer) {
    if (timer != null) {
      timer.cancel();
    }
  }
}
