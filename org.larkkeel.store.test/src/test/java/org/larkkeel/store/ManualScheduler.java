/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;

/** Virtual time for any number of processes, each of which can be paused or killed. */
public final class ManualScheduler {
  private static final Comparator<Task> ORDER =
      Comparator.comparingLong((Task t) -> t.due).thenComparingLong(t -> t.sequence);

  private final PriorityQueue<Task> tasks = new PriorityQueue<>(ORDER);
  private long now = 1_000_000_000L;
  private long sequence;

  /** Starts a process. */
  public Process newProcess() {
    return new Process();
  }

  /** The virtual time in nanoseconds. */
  public long now() {
    return now;
  }

  /** Runs everything that is due within a time. */
  public void advance(Duration d) {
    long end = now + d.toNanos();
    while (!tasks.isEmpty() && tasks.peek().due <= end) {
      step();
    }
    now = end;
  }

  /** Runs until a condition holds; fails after a virtual time. */
  public void until(BooleanSupplier done, Duration longest) {
    long end = now + longest.toNanos();
    while (!done.getAsBoolean()) {
      if (tasks.isEmpty() || tasks.peek().due > end) {
        throw new AssertionError("not done within " + longest);
      }
      step();
    }
  }

  private void step() {
    Task t = tasks.poll();
    now = Math.max(now, t.due);
    t.process.run(t);
  }

  private static final class Task {
    final Process process;
    final Runnable body;
    final long due;
    final long sequence;
    boolean cancelled;

    Task(Process process, Runnable body, long due, long sequence) {
      this.process = process;
      this.body = body;
      this.due = due;
      this.sequence = sequence;
    }
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

    /** Runs on; what was held back is due at once. */
    public void resume() {
      paused = false;
      held.forEach(t -> tasks.add(new Task(this, t.body, now, sequence++)));
      held.clear();
    }

    /** Drops all tasks for good. */
    public void kill() {
      dead = true;
    }

    private void run(Task t) {
      if (t.cancelled || dead) {
        return;
      }
      if (paused) {
        held.add(t);
      } else {
        t.body.run();
      }
    }

    @Override
    public long nanoTime() {
      return now;
    }

    @Override
    public long wallMillis() {
      return now / 1_000_000;
    }

    @Override
    public void execute(Runnable task) {
      schedule(Duration.ZERO, task);
    }

    @Override
    public Timer schedule(Duration delay, Runnable task) {
      Task t = new Task(this, task, now + delay.toNanos(), sequence++);
      tasks.add(t);
      return () -> t.cancelled = true;
    }
  }
}
