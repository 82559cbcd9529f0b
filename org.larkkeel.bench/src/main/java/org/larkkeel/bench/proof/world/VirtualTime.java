/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.proof.world;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import org.larkkeel.store.Scheduler;

/**
 * Virtual time for any number of processes, each of which can be paused or killed.
 *
 * <p>Tasks run in the order of their time, and of their submission where that is equal. Not safe
 * for use by several threads.
 *
 * @since 0.1
 */
public final class VirtualTime {
  /** A millisecond. */
  public static final long MILLI = 1_000_000L;

  /** A second. */
  public static final long SECOND = 1_000 * MILLI;

  private static final long MOST_TASKS = 2_000_000;
  private static final Comparator<Task> ORDER =
      Comparator.comparingLong((Task t) -> t.due).thenComparingLong(t -> t.sequence);

  private final PriorityQueue<Task> tasks = new PriorityQueue<>(ORDER);
  private long now = SECOND;
  private long sequence;
  private long count;

  private static final class Task {
    private final Process process;
    private final long due;
    private final long sequence;
    private Runnable body;

    Task(Process process, long due, long sequence, Runnable body) {
      this.process = process;
      this.due = due;
      this.sequence = sequence;
      this.body = body;
    }
  }

  /**
   * Starts a process.
   *
   * @return its scheduler
   */
  public Process newProcess() {
    return new Process();
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
   * Runs everything that is due up to a time.
   *
   * @param end the last time
   */
  public void runUntil(long end) {
    while (!tasks.isEmpty() && tasks.peek().due <= end) {
      Task task = tasks.poll();
      count++;
      if (count > MOST_TASKS) {
        throw new IllegalStateException("the run does not come to rest");
      }
      now = task.due;
      task.process.run(task);
    }
    now = Math.max(now, end);
  }

  /** The scheduler of one process. */
  public final class Process implements Scheduler {
    private final List<Task> held = new ArrayList<>();
    private boolean paused;
    private boolean dead;

    /** Holds all tasks back, as when the process is stopped. */
    public void pause() {
      paused = true;
    }

    /** Runs on; what was held back is due at once, in its order. */
    public void resume() {
      paused = false;
      List<Task> waiting = List.copyOf(held);
      held.clear();
      waiting.forEach(t -> at(now, t.body));
    }

    /** Drops all tasks for good. */
    public void kill() {
      dead = true;
      held.clear();
    }

    /**
     * Tells whether the process was killed.
     *
     * @return true if so
     */
    public boolean isDead() {
      return dead;
    }

    /**
     * Runs a task at a time.
     *
     * @param due when; a time that has passed means now
     * @param body what
     */
    public void at(long due, Runnable body) {
      tasks.add(new Task(this, Math.max(now, due), sequence++, body));
    }

    /**
     * Runs a task after a delay.
     *
     * @param nanos the delay
     * @param body what
     */
    public void after(long nanos, Runnable body) {
      at(now + nanos, body);
    }

    private void run(Task task) {
      if (dead || task.body == null) {
        return;
      }
      if (paused) {
        held.add(task);
      } else {
        task.body.run();
      }
    }

    @Override
    public long nanoTime() {
      return now;
    }

    @Override
    public long wallMillis() {
      return now / MILLI;
    }

    @Override
    public void execute(Runnable task) {
      after(0, task);
    }

    @Override
    public Timer schedule(Duration delay, Runnable body) {
      Task task = new Task(this, now + delay.toNanos(), sequence++, body);
      tasks.add(task);
      return () -> task.body = null;
    }
  }
}
