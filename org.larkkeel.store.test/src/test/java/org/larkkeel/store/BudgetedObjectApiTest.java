/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.Test;

/** Tests of {@link BudgetedObjectApi}, its call budget and its circuit breaker. */
public class BudgetedObjectApiTest {
  private static final CallBudget BUDGET =
      new CallBudget(
          10, 10, 5, Duration.ofSeconds(1), Duration.ofMillis(100), Duration.ofSeconds(2));

  /** Limiting the rate of calls. */
  public static class Rate {

    @Test
    public void callsArePacedAndExcessCallsAreRefused() {
      ManualScheduler time = new ManualScheduler();
      InMemoryStore store = new InMemoryStore(time);
      ObjectApi api = node(time, store, 1);
      List<CompletableFuture<?>> calls = new ArrayList<>();
      for (int i = 0; i < 50; i++) {
        calls.add(api.list(ListQuery.of("test")));
      }
      time.advance(Duration.ofMillis(550));
      assertEquals(store.reads(), 10);
      time.advance(Duration.ofSeconds(10));
      assertEquals(store.reads(), 15);
      long refused = calls.stream().filter(CompletableFuture::isCompletedExceptionally).count();
      assertEquals(refused, 35);
    }
  }

  /** Calls during and after an outage of the store. */
  public static class Outage {

    @Test
    public void outageCausesFewCallsAndRecoveryNoCallBurst() {
      ManualScheduler time = new ManualScheduler();
      InMemoryStore store = new InMemoryStore(time);
      int nodes = 330;
      CallCounter counter = new CallCounter(time, store, nodes);
      store.setOutage(true);
      counter.start();
      time.advance(Duration.ofSeconds(10));
      int callsBeforeMeasuring = counter.callCount;
      time.advance(Duration.ofSeconds(60));
      double perNodeSecond = (counter.callCount - callsBeforeMeasuring) / 60.0 / nodes;
      assertTrue(
          perNodeSecond < 1.5, "calls per node and second during the outage: " + perNodeSecond);
      store.setOutage(false);
      int before = counter.callCount;
      time.advance(Duration.ofMillis(100));
      int burst = counter.callCount - before;
      assertTrue(burst < nodes / 2, "calls in the first 100 ms after the outage: " + burst);
      time.advance(Duration.ofSeconds(5));
      assertEquals(counter.countSucceeded(), nodes);
    }
  }

  private static ObjectApi node(ManualScheduler time, InMemoryStore store, int seed) {
    ManualScheduler.Process p = time.newProcess();
    return new BudgetedObjectApi(new InMemoryObjectApi(store, p), BUDGET, p, new Random(seed));
  }

  /** Nodes that each call the store every 50 ms, regardless of failures. */
  private static final class CallCounter {
    private static final Duration CALL_INTERVAL = Duration.ofMillis(50);
    private final ManualScheduler.Process driver;
    private final List<ObjectApi> nodes = new ArrayList<>();
    private final boolean[] succeeded;
    private int callCount;

    CallCounter(ManualScheduler time, InMemoryStore store, int count) {
      driver = time.newProcess();
      succeeded = new boolean[count];
      for (int i = 0; i < count; i++) {
        ManualScheduler.Process p = time.newProcess();
        InMemoryObjectApi raw =
            new InMemoryObjectApi(store, p)
                .setReadFaults(
                    () -> {
                      callCount++;
                      return Fault.NONE;
                    });
        nodes.add(new BudgetedObjectApi(raw, BUDGET, p, new Random(i)));
      }
    }

    void start() {
      for (int i = 0; i < nodes.size(); i++) {
        call(i);
      }
    }

    private void call(int i) {
      nodes.get(i).list(ListQuery.of("test")).whenComplete((p, e) -> succeeded[i] |= e == null);
      driver.schedule(CALL_INTERVAL, () -> call(i));
    }

    long countSucceeded() {
      long n = 0;
      for (boolean b : succeeded) {
        n += b ? 1 : 0;
      }
      return n;
    }
  }
}
