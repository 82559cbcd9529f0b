/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon;

import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.larkkeel.effect.Effect;
import org.larkkeel.effect.EffectSink;
import org.larkkeel.event.Event;

/**
 * Publishes {@code Ticked} events at the times that the reducer requests.
 *
 * <p>Safe for use by several threads.
 *
 * @since 0.1
 */
public final class Timers implements EffectSink, AutoCloseable {
  private final ScheduledThreadPoolExecutor executor;
  private final Consumer<Event> events;
  private final LongSupplier clock;

  /**
   * Starts the thread.
   *
   * @param name the name of the thread
   * @param events receives the events
   * @param clock the node's monotonic clock, nanoseconds
   */
  public Timers(String name, Consumer<Event> events, LongSupplier clock) {
    this.events = events;
    this.clock = clock;
    this.executor = new ScheduledThreadPoolExecutor(1, task -> newThread(name, task));
    this.executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
  }

  private static Thread newThread(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    return thread;
  }

  /**
   * Sets a timer.
   *
   * @param effect a {@link Effect.Wake}
   */
  @Override
  public void accept(Effect effect) {
    if (effect instanceof Effect.Wake wake) {
      long delay = Math.max(0, wake.at() - clock.getAsLong());
      ScheduledFuture<?> unused = executor.schedule(this::tick, delay, TimeUnit.NANOSECONDS);
    }
  }

  private void tick() {
    events.accept(new Event.Ticked(clock.getAsLong()));
  }

  @Override
  public void close() {
    executor.shutdownNow();
  }
}
