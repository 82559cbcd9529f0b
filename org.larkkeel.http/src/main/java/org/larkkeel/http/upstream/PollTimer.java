/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.upstream;

/**
 * Runs tasks later.
 *
 * <p>Implementations are safe for use by several threads.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface PollTimer {
  /**
   * Runs a task once.
   *
   * @param nanos the delay, nanoseconds
   * @param task the task, which does not block
   */
  void after(long nanos, Runnable task);
}
