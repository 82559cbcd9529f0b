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
 * A virtual clock and scheduler for any number of simulated processes, each of which can be paused
 * or killed.
 *
 * <p>Tasks run in the order of their due time, and tasks with the same due time in the order of
 * submission. Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class VirtualTime {
  /** A millisecond in nanoseconds. */
  public static final long MILLI = 1_000_000L;

  /** A second in nanoseconds. */
  public static final long SECOND = 1_000 * MILLI;

  private static final long MAX_TASKS = 2_000_000;
  private static final Comparator<Task> ORDER =
      Comparator.comparingLong((Task t) -> t.due).thenComparingLong(t -> t.sequence);

  private final PriorityQueue<Task> tasks = new PriorityQueue<>(ORDER);
  private long now = SECOND;
  private long sequence;
  private long executedTasks;

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
   * Creates a process.
   *
   * @return the scheduler of the process
   */
  public Process newProcess() {
    return new Process();
  }

  /**
   * Returns the current virtual time.
   *
   * @return nanoseconds
   */
  public long now() {
    return now;
  }

  /**
   * Runs all tasks that are due up to a point in time.
   *
   * @param end the time in nanoseconds, inclusive
   * @throws IllegalStateException if too many tasks have run, which shows an endless loop of tasks
   */
  public void runUntil(long end) {
    while (!tasks.isEmpty() && tasks.peek().due <= end) {
      Task task = tasks.poll();
      executedTasks++;
      if (executedTasks > MAX_TASKS) {
        throw new IllegalStateException(
            "too many tasks in one run: tasks keep scheduling each other");
      }
      now = task.due;
      task.process.run(task);
    }
    now = Math.max(now, end);
  }

  /** The scheduler of one process. */
  public final class Process implements Scheduler {
    private final List<Task> deferred = new ArrayList<>();
    private boolean paused;
    private boolean dead;

    /** Defers all tasks, as when the operating system suspends the process. */
    public void pause() {
      paused = true;
    }

    /** Resumes the process. The deferred tasks are due immediately, in their order. */
    public void resume() {
      paused = false;
      List<Task> waiting = List.copyOf(deferred);
      deferred.clear();
      waiting.forEach(t -> at(now, t.body));
    }

    /** Kills the process: none of its tasks runs any more. */
    public void kill() {
      dead = true;
      deferred.clear();
    }

    /**
     * Returns whether the process was killed.
     *
     * @return true if so
     */
    public boolean isDead() {
      return dead;
    }

    /**
     * Schedules a task at a point in time.
     *
     * @param due the time in nanoseconds; a time in the past means now
     * @param body the task
     */
    public void at(long due, Runnable body) {
      tasks.add(new Task(this, Math.max(now, due), sequence++, body));
    }

    /**
     * Schedules a task after a delay.
     *
     * @param nanos the delay
     * @param body the task
     */
    public void after(long nanos, Runnable body) {
      at(now + nanos, body);
    }

    private void run(Task task) {
      if (dead || task.body == null) {
        return;
      }
      if (paused) {
        deferred.add(task);
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
