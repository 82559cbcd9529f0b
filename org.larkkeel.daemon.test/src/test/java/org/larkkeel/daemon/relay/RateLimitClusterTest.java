/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests of upstreams that announce a rate limit for the requests of all nodes together.
 *
 * <p>The guarantee: starting 3 s after the first answer that announced the limit, the nodes that
 * received it send, within any 4 s, at most one and a half times what the limit allows plus five
 * requests.
 */
public class RateLimitClusterTest {
  private static final long SECOND = 1_000 * SimCluster.NANOS_PER_MILLI;
  private static final long WINDOW = 4 * SECOND;
  private static final int COORDINATOR_FROM = 16;

  /** Calls per second, for which the upstreams without a limit have capacity. */
  private static final int CALLS_PER_SECOND = 40;

  private static final double[] RATES = {5.2, 0.5, 30};

  private static SimCluster cluster(int nodes, long seed) {
    SimCluster cluster = new SimCluster(nodes, 4, COORDINATOR_FROM, seed);
    cluster.advance(4_000);
    cluster.loadPlain(2 * CALLS_PER_SECOND, 2_000);
    return cluster;
  }

  private static void load(SimCluster cluster, int seconds) {
    cluster.loadPlain(seconds * CALLS_PER_SECOND, seconds * 1_000L);
  }

  private static double maxAllowed(double rate) {
    return 1.5 * 4 * rate + 5;
  }

  /** Asserts the guarantee for all nodes, including those that received the limit from peers. */
  private static void assertWithinGuarantee(SimCluster cluster, int app, double rate, long since) {
    int received = cluster.app(app).maxArrived(since + 3 * SECOND, WINDOW);
    assertTrue(received <= maxAllowed(rate), received + " in 4 s at " + rate + " a second");
  }

  /** Returns numbers of nodes and limits. */
  @DataProvider
  public static Object[][] clusters() {
    return new Object[][] {
      {8, 5.2}, {8, 0.5}, {8, 30.0}, {60, 5.2}, {60, 0.5}, {60, 30.0}, {150, 5.2}, {150, 0.5}
    };
  }

  /** The sum of requests over all nodes. */
  public static class Sum extends RateLimitClusterTest {
    @Test(dataProvider = "clusters")
    public void isWithinTheGuarantee(int nodes, double rate) {
      SimCluster cluster = cluster(nodes, 1);
      cluster.app(0).limit(rate);
      long since = cluster.nowNanos();
      load(cluster, 12);
      assertWithinGuarantee(cluster, 0, rate, since);
    }

    @Test(dataProvider = "clusters")
    public void isNearlyTheLimitIfTheDemandIsHigher(int nodes, double rate) {
      SimCluster cluster = cluster(nodes, 2);
      for (int i = 0; i < 4; i++) {
        cluster.app(i).limit(rate);
      }
      cluster.advance(100);
      load(cluster, 4);
      long since = cluster.nowNanos();
      load(cluster, 20);
      double demand = Math.min(4 * rate, CALLS_PER_SECOND) * 20;
      int received = 0;
      for (int i = 0; i < 4; i++) {
        received += cluster.app(i).arrivedSince(since);
      }
      assertTrue(received >= 0.75 * demand, received + " of " + demand);
    }

    /** Returns numbers of nodes and seeds of fault schedules. */
    @DataProvider
    public static Object[][] schedules() {
      return new Object[][] {{8, 11}, {8, 12}, {8, 13}, {60, 14}, {60, 15}};
    }

    @Test(dataProvider = "schedules")
    public void isWithinTheGuaranteeDuringFaults(int nodes, long seed) {
      for (double rate : RATES) {
        SimCluster cluster = cluster(nodes, seed);
        cluster.setLossShare(0.025);
        cluster.app(0).limit(rate);
        long since = cluster.nowNanos();
        for (int i = 0; i < 8; i++) {
          fault(cluster);
          load(cluster, 2);
        }
        int received = cluster.app(0).maxArrivedFromInformed(since + 3 * SECOND, WINDOW);
        assertTrue(
            received <= maxAllowed(rate), received + " in 4 s at " + rate + ", seed " + seed);
      }
    }

    /** Partitions a third of the nodes, suspends one node, or partitions the coordinator. */
    private static void fault(SimCluster cluster) {
      int from = cluster.random.nextInt(cluster.nodes.size() * 2 / 3);
      List<SimCluster.Node> third = cluster.nodes.subList(from, from + cluster.nodes.size() / 3);
      switch (cluster.random.nextInt(3)) {
        case 0 -> cluster.partition(third, 500 + cluster.random.nextInt(3_000));
        case 1 -> third.getFirst().suspend(500 + cluster.random.nextInt(3_000));
        default -> cluster.partition(List.of(cluster.nodes.getFirst()), 2_500);
      }
    }
  }

  /** Limits that are lifted or changed. */
  public static class Change extends RateLimitClusterTest {
    @Test(dataProvider = "clusters")
    public void toNoLimitIsAppliedSoon(int nodes, double rate) {
      SimCluster cluster = cluster(nodes, 3);
      cluster.app(0).limit(rate);
      load(cluster, 8);
      cluster.app(0).removeLimit();
      load(cluster, 6);
      long since = cluster.nowNanos();
      load(cluster, 4);
      int received = cluster.app(0).arrivedSince(since);
      assertTrue(
          received >= CALLS_PER_SECOND / 2, received + " of " + 4 * CALLS_PER_SECOND + " calls");
    }

    @Test
    public void toLowerOrHigherLimitIsApplied() {
      SimCluster cluster = cluster(8, 4);
      cluster.app(0).limit(8);
      load(cluster, 6);
      cluster.app(0).limit(1);
      long lowered = cluster.nowNanos();
      load(cluster, 10);
      assertWithinGuarantee(cluster, 0, 1, lowered);
      for (int i = 1; i < 4; i++) {
        cluster.app(i).limit(1);
      }
      cluster.app(0).limit(20);
      load(cluster, 4);
      long raised = cluster.nowNanos();
      load(cluster, 4);
      int received = cluster.app(0).arrivedSince(raised);
      assertTrue(received >= 0.75 * 4 * 20, received + " in 4 s at 20 a second");
    }
  }
}
