/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

import java.time.Duration;
import java.util.concurrent.Executor;

/**
 * A clock and a single-threaded executor of delayed tasks.
 *
 * <p>Contract: tasks run one at a time, never inside the call that submits them, and in the order
 * of their due times; tasks with the same due time run in the order of submission. The stateful
 * classes of this module are confined to a scheduler and need no locks. The methods of a scheduler
 * may be called from any thread.
 *
 * @since 0.1
 */
public interface Scheduler extends Executor {

  /**
   * Returns the time of the monotonic clock, which includes the time for which the machine was
   * suspended.
   *
   * @return nanoseconds from an arbitrary origin
   */
  long nanoTime();

  /**
   * Returns the time of the wall clock, which may jump. It is used for records only; no invariant
   * may depend on it.
   *
   * @return milliseconds since the epoch
   */
  long wallMillis();

  /**
   * Schedules a task.
   *
   * @param delay the delay, not negative
   * @param task the task
   * @return a handle that cancels the task if it has not started
   */
  Timer schedule(Duration delay, Runnable task);

  /** A scheduled task. */
  interface Timer {
    /** Cancels the task if it has not started; otherwise does nothing. */
    void cancel();
  }
}
