/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import org.larkkeel.bench.experiment.fake.Timeline;

/**
 * The process of a node, which can be frozen, suspended or ended. All input and all timers of the
 * node run through it.
 *
 * <p>Invariant: actions run in the order in which they became due, and none runs after the process
 * has ended. Not safe for use by several threads.
 */
final class SimProcess {
  private final Timeline time;
  private final Deque<Runnable> pending = new ArrayDeque<>();
  private State state = State.RUNNING;
  private long suspendedAt;

  /** The total duration of all suspensions, by which timers are delayed. */
  private long suspendedNanos;

  private enum State {
    RUNNING,
    FROZEN,
    SUSPENDED,
    ENDED
  }

  SimProcess(Timeline time) {
    this.time = time;
  }

  /** Runs an action now, or when the process continues; drops it if the process has ended. */
  void run(Runnable action) {
    if (state == State.RUNNING) {
      action.run();
    } else if (state != State.ENDED) {
      pending.add(action);
    }
  }

  /** Schedules an action after a delay. */
  Timeline.Timer after(long nanos, Runnable action) {
    long suspendedBefore = suspendedNanos;
    return time.after(nanos, () -> runTimer(suspendedBefore, action));
  }

  /** Runs a timer that is due; one set before a suspension is delayed by its duration. */
  private void runTimer(long suspendedBefore, Runnable action) {
    if (state == State.SUSPENDED) {
      pending.add(() -> runTimer(suspendedBefore, action));
    } else if (suspendedNanos > suspendedBefore) {
      after(suspendedNanos - suspendedBefore, action);
    } else {
      run(action);
    }
  }

  /** Schedules an action at a time. */
  Timeline.Timer at(long when, Runnable action) {
    return after(Math.max(0, when - time.now()), action);
  }

  boolean hasEnded() {
    return state == State.ENDED;
  }

  /** Freezes a running process. */
  void freeze() {
    if (state == State.RUNNING) {
      state = State.FROZEN;
    }
  }

  /** Suspends the machine of a running process. */
  void suspend() {
    if (state == State.RUNNING) {
      state = State.SUSPENDED;
      suspendedAt = time.now();
    }
  }

  /**
   * Resumes a suspended machine; {@link #runPending} then runs the actions of the suspension.
   *
   * @return the duration of the suspension in nanoseconds; 0 if the process was not suspended
   */
  long resume() {
    if (state != State.SUSPENDED) {
      return 0;
    }
    state = State.RUNNING;
    suspendedNanos += time.now() - suspendedAt;
    return time.now() - suspendedAt;
  }

  /** Continues a frozen process and runs the actions that became due in between. */
  void thaw() {
    if (state != State.FROZEN) {
      return;
    }
    state = State.RUNNING;
    runPending();
  }

  /** Runs the actions that became due while the process did not run. */
  void runPending() {
    for (Runnable next = pending.poll(); next != null; next = pending.poll()) {
      run(next);
    }
  }

  /** Ends the process permanently. */
  void end() {
    state = State.ENDED;
    pending.clear();
  }
}
