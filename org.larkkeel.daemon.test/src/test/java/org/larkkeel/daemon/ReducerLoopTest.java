/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.larkkeel.call.Call;
import org.larkkeel.effect.Effect;
import org.larkkeel.event.Event;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.WorkspaceName;
import org.testng.annotations.Test;

/** Tests of {@link ReducerLoop}. */
public class ReducerLoopTest {
  private static final int SIZE = 16;
  private static final long TIMEOUT_SECONDS = 10;

  private static Event.RequestArrived arrival(long at) {
    Call call =
        new Call.Plain(
            new RequestId(at), new WorkspaceName("w"), Optional.empty(), "/lookup", true, 0);
    return new Event.RequestArrived(at, call);
  }

  private static void await(CountDownLatch latch) {
    try {
      assertTrue(latch.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), "the loop made no progress");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new AssertionError(e);
    }
  }

  /**
   * A full ring: requests are refused, outcomes are never lost, and the loop never blocks itself.
   */
  public static class FullRing {
    @Test
    public void refusesArrivalsAndAppliesEveryOutcome() throws InterruptedException {
      int arrivals = 3 * SIZE;
      int threads = 4;
      int outcomesPerThread = SIZE;
      int outcomes = threads * outcomesPerThread;
      CountDownLatch gate = new CountDownLatch(1);
      CountDownLatch applied = new CountDownLatch(outcomes);
      AtomicInteger accepted = new AtomicInteger();
      AtomicInteger refused = new AtomicInteger();
      Reducer reducer =
          (event, effects) -> {
            await(gate);
            if (event instanceof Event.RequestArrived) {
              accepted.incrementAndGet();
            } else {
              applied.countDown();
            }
          };
      try (ReducerLoop loop =
          new ReducerLoop("test", SIZE, reducer, e -> {}, e -> refused.incrementAndGet())) {
        loop.start();
        for (int i = 0; i < arrivals; i++) {
          loop.publish(arrival(i));
        }
        assertTrue(
            refused.get() >= arrivals - SIZE,
            "more arrivals were accepted than the ring has space for");
        assertTrue(refused.get() < arrivals, "no arrival was accepted");
        List<Thread> producers = new ArrayList<>();
        for (int t = 0; t < threads; t++) {
          producers.add(Thread.ofPlatform().start(() -> publishOutcomes(loop, outcomesPerThread)));
        }
        gate.countDown();
        await(applied);
        for (Thread producer : producers) {
          producer.join();
        }
      }
      assertEquals(accepted.get() + refused.get(), arrivals);
    }

    private static void publishOutcomes(ReducerLoop loop, int count) {
      for (int i = 0; i < count; i++) {
        loop.publish(new Event.FirstToken(i, new AttemptId(i)));
      }
    }

    @Test
    public void eventsPublishedOnLoopThreadDoNotWaitForSpace() {
      CountDownLatch gate = new CountDownLatch(1);
      CountDownLatch failures = new CountDownLatch(SIZE);
      Effect effect = new Effect.Wake(0);
      Reducer reducer =
          (event, effects) -> {
            await(gate);
            if (event instanceof Event.FirstToken) {
              effects.accept(effect);
            } else {
              failures.countDown();
            }
          };
      ReducerLoop[] loopHolder = new ReducerLoop[1];
      try (ReducerLoop loop =
          new ReducerLoop(
              "test", SIZE, reducer, e -> loopHolder[0].publish(new Event.Ticked(0)), e -> {})) {
        loopHolder[0] = loop;
        loop.start();
        publishOutcomes(loop, SIZE);
        gate.countDown();
        await(failures);
      }
    }
  }

  /** The times of events. */
  public static class Times {
    @Test
    public void neverDecrease() {
      List<Long> times = Collections.synchronizedList(new ArrayList<>());
      CountDownLatch applied = new CountDownLatch(4);
      Reducer reducer =
          (event, effects) -> {
            times.add(event.at());
            applied.countDown();
          };
      try (ReducerLoop loop = new ReducerLoop("test", SIZE, reducer, e -> {}, e -> {})) {
        loop.start();
        loop.publish(new Event.Ticked(-5));
        loop.publish(new Event.Ticked(7));
        loop.publish(arrival(3));
        loop.publish(new Event.FirstToken(8, new AttemptId(1)));
        await(applied);
      }
      assertEquals(times, List.of(-5L, 7L, 7L, 8L));
    }
  }

  /** A reducer that throws: the loop must continue with the next event. */
  public static class Exceptions {
    @Test
    public void doNotEndTheLoop() throws Exception {
      Reducer reducer =
          (event, effects) -> {
            throw new IllegalStateException("thrown by the test");
          };
      try (ReducerLoop loop = new ReducerLoop("test", SIZE, reducer, e -> {}, e -> {})) {
        loop.start();
        loop.publish(new Event.Ticked(1));
        assertEquals(loop.query(() -> "alive").get(TIMEOUT_SECONDS, TimeUnit.SECONDS), "alive");
      }
    }
  }
}
