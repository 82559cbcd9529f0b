/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

import java.time.Duration;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.larkkeel.time.BootClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A scheduler on one platform thread, which it owns. Thread-safe.
 *
 * @since 0.1
 */
public final class ExecutorScheduler implements Scheduler, AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(ExecutorScheduler.class);

  private final ScheduledThreadPoolExecutor executor;

  /**
   * Starts the thread.
   *
   * @param name the name of the thread
   */
  public ExecutorScheduler(String name) {
    executor =
        new ScheduledThreadPoolExecutor(
            1, r -> Thread.ofPlatform().name(name).daemon(true).unstarted(r));
    executor.setRemoveOnCancelPolicy(true);
  }

  @Override
  public long nanoTime() {
    return BootClock.SYSTEM.nanoTime();
  }

  @Override
  public long wallMillis() {
    return System.currentTimeMillis();
  }

  @Override
  public void execute(Runnable task) {
    schedule(Duration.ZERO, task);
  }

  @Override
  public Timer schedule(Duration delay, Runnable task) {
    try {
      ScheduledFuture<?> f =
          executor.schedule(() -> run(task), delay.toNanos(), TimeUnit.NANOSECONDS);
      return () -> f.cancel(false);
    } catch (RejectedExecutionException e) {
      LOG.debug("event=task-after-close");
      return () -> {};
    }
  }

  private static void run(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      LOG.error("event=task-failed", e);
    }
  }

  /** Stops the thread; tasks that have not started are dropped. */
  @Override
  public void close() {
    executor.shutdownNow();
  }
}
