/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon;

import java.time.Duration;
import java.util.PriorityQueue;
import org.larkkeel.store.Scheduler;

/** A scheduler whose time only the test advances. */
public final class VirtualTime implements Scheduler {
  private final PriorityQueue<Due> due = new PriorityQueue<>();
  private long now;

  private record Due(long at, long order, Runnable task) implements Comparable<Due> {
    @Override
    public int compareTo(Due other) {
      return at == other.at ? Long.compare(order, other.order) : Long.compare(at, other.at);
    }
  }

  @Override
  public long nanoTime() {
    return now;
  }

  @Override
  public long wallMillis() {
    return 0;
  }

  @Override
  public void execute(Runnable task) {
    schedule(Duration.ZERO, task);
  }

  @Override
  public Timer schedule(Duration delay, Runnable task) {
    Due added = new Due(now + delay.toNanos(), due.size(), task);
    due.add(added);
    return () -> due.remove(added);
  }

  /** Advances the time and runs the tasks that become due, in order. */
  public void advance(Duration time) {
    long end = now + time.toNanos();
    while (!due.isEmpty() && due.peek().at() <= end) {
      Due next = due.remove();
      now = next.at();
      next.task().run();
    }
    now = end;
  }
}
