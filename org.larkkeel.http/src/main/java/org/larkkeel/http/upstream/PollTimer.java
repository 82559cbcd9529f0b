/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.upstream;

/**
 * Schedules tasks to run after a delay.
 *
 * <p>Implementations are safe for use by several threads.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface PollTimer {
  /**
   * Schedules a task to run once.
   *
   * @param delayNanos the delay, nanoseconds
   * @param task the task, which must not block
   */
  void schedule(long delayNanos, Runnable task);
}
