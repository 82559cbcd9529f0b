/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.CompletableFuture;
import org.larkkeel.daemon.settings.LimitSettings;
import org.larkkeel.platform.Scheduler;
import org.testng.annotations.Test;

/** Tests of {@link Drain}. */
public class DrainTest {
  /** A scheduler whose time is moved by the test. */
  private static final class VirtualTime implements Scheduler {
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

    void advance(Duration time) {
      long end = now + time.toNanos();
      while (!due.isEmpty() && due.peek().at() <= end) {
        Due next = due.remove();
        now = next.at();
        next.task().run();
      }
      now = end;
    }
  }

  /** A node with a number of requests in progress. */
  private static final class Rig {
    final VirtualTime time = new VirtualTime();
    final List<String> steps = new ArrayList<>();
    int inProgress = 1;
    final Drain drain =
        new Drain(
            time,
            new Drain.Steps(
                () -> steps.add("unready"), () -> steps.add("refuse"), () -> inProgress == 0),
            LimitSettings.DEFAULT);
  }

  /** The order of the steps. */
  public static class Order {
    @Test
    public void unreadyThenRefuseThenWaitForTheLastRequest() {
      Rig rig = new Rig();
      final CompletableFuture<Void> done = rig.drain.begin();
      assertEquals(rig.steps, List.of("unready"));
      rig.time.advance(LimitSettings.DEFAULT.grace());
      assertEquals(rig.steps, List.of("unready", "refuse"));
      rig.time.advance(Duration.ofMinutes(1));
      assertFalse(done.isDone(), "a request in progress was cut");
      rig.inProgress = 0;
      rig.time.advance(Duration.ofSeconds(1));
      assertTrue(done.isDone());
    }

    @Test
    public void repeatedBeginHasNoFurtherEffect() {
      Rig rig = new Rig();
      CompletableFuture<Void> first = rig.drain.begin();
      assertSame(rig.drain.begin(), first);
      rig.time.advance(Duration.ofMinutes(1));
      assertEquals(rig.steps, List.of("unready", "refuse"));
    }
  }

  /** Ends before the last request. */
  public static class Bounds {
    @Test
    public void hurryEndsAtOnce() {
      Rig rig = new Rig();
      CompletableFuture<Void> done = rig.drain.begin();
      rig.drain.hurry();
      assertTrue(done.isDone());
    }

    @Test
    public void limitEndsTheWait() {
      Rig rig = new Rig();
      CompletableFuture<Void> done = rig.drain.begin();
      rig.time.advance(LimitSettings.DEFAULT.drain());
      assertFalse(done.isDone());
      rig.time.advance(LimitSettings.DEFAULT.grace().plusSeconds(1));
      assertTrue(done.isDone());
    }
  }
}
