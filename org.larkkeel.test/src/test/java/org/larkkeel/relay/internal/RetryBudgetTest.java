/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.quota.QuotaTolerance;
import org.larkkeel.relay.RelaySettings;
import org.larkkeel.relay.ServiceName;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of the retry budget over all nodes. */
public class RetryBudgetTest {
  private static final long MILLI = 1_000_000L;
  private static final long WINDOW = 10_000 * MILLI;
  private static final double SHARE = 0.2;
  private static final double SLACK = 54;
  private static final ServiceName SERVICE = new ServiceName("app");

  private static RetryBudget start(long at, int nodes) {
    RetryBudget budget =
        new RetryBudget(
            new RelaySettings(
                new DataCentreName("dc-1"),
                SHARE,
                SLACK,
                WINDOW,
                nodes,
                512,
                1,
                7,
                QuotaTolerance.NONE));
    budget.started(at);
    return budget;
  }

  /** Returns how many of the times lie in the window that ends at a time. */
  private static long count(List<Long> times, long end) {
    return times.stream().filter(t -> t <= end && t > end - WINDOW).count();
  }

  /** Budgets of nodes that are started again within a window. */
  public static class Lives {
    /** Returns the number of nodes, the time of a life and the first calls a second of a node. */
    @DataProvider
    public Object[][] cases() {
      return new Object[][] {
        {1, 700, 2}, {7, 2_500, 4}, {7, 9_000, 0}, {12, 1_300, 1}, {12, 11_000, 6}, {40, 3_000, 1}
      };
    }

    // Guards against nodes that have their whole part of the slack again after each start, so that
    // the retries of several lives exceed the budget of the service.
    @Test(dataProvider = "cases")
    public void togetherStayWithinTheBudget(int nodes, int lifeMillis, int firstsPerSecond) {
      Random random = new Random(3);
      List<Long> firsts = new ArrayList<>();
      List<Long> retries = new ArrayList<>();
      List<RetryBudget> budgets = new ArrayList<>();
      long begin = 1_000_003 * MILLI;
      for (int i = 0; i < nodes; i++) {
        budgets.add(start(begin, nodes));
      }
      for (long at = begin; at < begin + 40_000 * MILLI; at += 50 * MILLI) {
        for (int i = 0; i < nodes; i++) {
          if (random.nextInt(lifeMillis / 50) == 0) {
            budgets.set(i, start(at, nodes));
          }
          if (random.nextInt(20) < firstsPerSecond) {
            budgets.get(i).recordFirst(at, SERVICE);
            firsts.add(at);
          }
          if (budgets.get(i).tryAcquire(at, SERVICE)) {
            retries.add(at);
          }
        }
      }
      for (long end : retries) {
        long used = count(retries, end);
        double allowed = SHARE * Math.max(count(firsts, end), count(firsts, end - WINDOW)) + SLACK;
        assertTrue(used <= allowed, used + " retries, of which " + allowed + " are allowed");
      }
    }
  }

  /** The slack of a node that has just started. */
  public static class Start {
    @Test
    public void givesSlackInProportionToTheTimeSinceTheStart() {
      long begin = 5_000 * MILLI;
      RetryBudget budget = start(begin, 1);
      assertFalse(budget.allows(begin + MILLI, SERVICE));
      int acquired = 0;
      while (budget.tryAcquire(begin + WINDOW / 2, SERVICE)) {
        acquired++;
      }
      assertTrue(acquired >= SLACK / 5 && acquired <= SLACK / 4, "acquired: " + acquired);
    }
  }
}
