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
 * What runs of a node: all that reaches it from outside and all its timers go through here.
 *
 * <p>Invariant: what is taken in runs in order; nothing runs once it has ended. Not safe for use by
 * several threads.
 */
final class SimProcess {
  private final Timeline time;
  private final Deque<Runnable> held = new ArrayDeque<>();
  private State state = State.RUNS;

  private enum State {
    RUNS,
    STANDS_STILL,
    HAS_ENDED
  }

  SimProcess(Timeline time) {
    this.time = time;
  }

  /** Does something, now or once it goes on; or never, if it has ended. */
  void run(Runnable action) {
    if (state == State.RUNS) {
      action.run();
    } else if (state == State.STANDS_STILL) {
      held.add(action);
    }
  }

  /** Does something later. */
  Timeline.Timer after(long nanos, Runnable action) {
    return time.after(nanos, () -> run(action));
  }

  /** Does something at a time. */
  Timeline.Timer at(long when, Runnable action) {
    return time.at(when, () -> run(action));
  }

  boolean hasEnded() {
    return state == State.HAS_ENDED;
  }

  /** Stands still from now on. */
  void freeze() {
    if (state == State.RUNS) {
      state = State.STANDS_STILL;
    }
  }

  /** Goes on with all that has come meanwhile. */
  void thaw() {
    if (state != State.STANDS_STILL) {
      return;
    }
    state = State.RUNS;
    for (Runnable next = held.poll(); next != null; next = held.poll()) {
      run(next);
    }
  }

  /** Ends for good. */
  void end() {
    state = State.HAS_ENDED;
    held.clear();
  }
}
