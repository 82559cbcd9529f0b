/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.fake;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * The virtual time of one run: what is due runs in the order of time, then of scheduling.
 *
 * <p>Invariant: the time never goes back. Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class Timeline {
  private final PriorityQueue<Timer> due =
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

    /** Prevents the action from running; of no effect once it ran. */
    public void cancel() {
      action = null;
    }
  }

  /**
   * Creates the timeline at the given time.
   *
   * @param start the first time
   */
  public Timeline(long start) {
    now = start;
  }

  /**
   * The present time.
   *
   * @return nanoseconds
   */
  public long now() {
    return now;
  }

  /**
   * Schedules an action.
   *
   * @param time when; a time that has passed means now
   * @param action what
   * @return a handle to cancel it
   */
  public Timer at(long time, Runnable action) {
    Timer timer = new Timer(Math.max(now, time), sequence++, action);
    due.add(timer);
    return timer;
  }

  /**
   * Schedules an action after a delay.
   *
   * @param delay nanoseconds
   * @param action what
   * @return a handle to cancel it
   */
  public Timer after(long delay, Runnable action) {
    return at(now + delay, action);
  }

  /**
   * Runs everything that is due up to a time.
   *
   * @param end the last time
   */
  public void runUntil(long end) {
    while (!due.isEmpty() && due.peek().at <= end) {
      Timer timer = due.poll();
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
