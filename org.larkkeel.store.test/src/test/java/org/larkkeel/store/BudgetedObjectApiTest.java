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

/** Tests of {@link BudgetedObjectApi} and its parts. */
public class BudgetedObjectApiTest {
  private static final CallBudget BUDGET =
      new CallBudget(
          10, 10, 5, Duration.ofSeconds(1), Duration.ofMillis(100), Duration.ofSeconds(2));

  /** The rate. */
  public static class Rate {

    @Test
    public void callsAreSpreadAndTheExcessIsRefused() {
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

  /** Outages. */
  public static class Outage {

    @Test
    public void downStoreSeesFewCallsAndReturnsWithoutStampede() {
      ManualScheduler time = new ManualScheduler();
      InMemoryStore store = new InMemoryStore(time);
      int nodes = 330;
      CallCounter counter = new CallCounter(time, store, nodes);
      store.setOutage(true);
      counter.start();
      time.advance(Duration.ofSeconds(10));
      int settled = counter.made;
      time.advance(Duration.ofSeconds(60));
      double perNodeSecond = (counter.made - settled) / 60.0 / nodes;
      assertTrue(perNodeSecond < 1.5, "calls a node and second in the outage: " + perNodeSecond);
      store.setOutage(false);
      int before = counter.made;
      time.advance(Duration.ofMillis(100));
      int burst = counter.made - before;
      assertTrue(burst < nodes / 2, "calls in the first 100 ms: " + burst);
      time.advance(Duration.ofSeconds(5));
      assertEquals(counter.healthy(), nodes);
    }
  }

  private static ObjectApi node(ManualScheduler time, InMemoryStore store, int seed) {
    ManualScheduler.Process p = time.newProcess();
    return new BudgetedObjectApi(new InMemoryObjectApi(store, p), BUDGET, p, new Random(seed));
  }

  /** Nodes that each want a read every 50 ms, whatever happens. */
  private static final class CallCounter {
    private static final Duration EAGER = Duration.ofMillis(50);
    private final ManualScheduler.Process driver;
    private final List<ObjectApi> nodes = new ArrayList<>();
    private final boolean[] ok;
    private int made;

    CallCounter(ManualScheduler time, InMemoryStore store, int count) {
      driver = time.newProcess();
      ok = new boolean[count];
      for (int i = 0; i < count; i++) {
        ManualScheduler.Process p = time.newProcess();
        InMemoryObjectApi raw =
            new InMemoryObjectApi(store, p)
                .setReadFaults(
                    () -> {
                      made++;
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
      nodes.get(i).list(ListQuery.of("test")).whenComplete((p, e) -> ok[i] |= e == null);
      driver.schedule(EAGER, () -> call(i));
    }

    long healthy() {
      long n = 0;
      for (boolean b : ok) {
        n += b ? 1 : 0;
      }
      return n;
    }
  }
}
