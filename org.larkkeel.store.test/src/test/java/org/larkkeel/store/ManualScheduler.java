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

/** Virtual time for any number of simulated processes, each of which can be paused or killed. */
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

  /** Returns the virtual time in nanoseconds. */
  public long now() {
    return now;
  }

  /** Advances the virtual time and runs all tasks that become due. */
  public void advance(Duration d) {
    long end = now + d.toNanos();
    while (!tasks.isEmpty() && tasks.peek().due <= end) {
      step();
    }
    now = end;
  }

  /** Runs tasks until a condition holds; fails if it does not hold within a virtual time. */
  public void runUntil(BooleanSupplier done, Duration maxTime) {
    long end = now + maxTime.toNanos();
    while (!done.getAsBoolean()) {
      if (tasks.isEmpty() || tasks.peek().due > end) {
        throw new AssertionError("not done within " + maxTime);
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
    private final List<Task> heldBack = new ArrayList<>();
    private boolean paused;
    private boolean dead;

    /** Holds back all tasks, as when the process is suspended. */
    public void pause() {
      paused = true;
    }

    /** Resumes the process; tasks that were held back are due immediately. */
    public void resume() {
      paused = false;
      heldBack.forEach(t -> tasks.add(new Task(this, t.body, now, sequence++)));
      heldBack.clear();
    }

    /** Ends the process; its tasks never run. */
    public void kill() {
      dead = true;
    }

    private void run(Task t) {
      if (t.cancelled || dead) {
        return;
      }
      if (paused) {
        heldBack.add(t);
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
