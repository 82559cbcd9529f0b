/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.quota;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.RequestId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests one quota over many nodes: a workspace gets its limit, and never more than limit and
 * tolerance allow, also under faults.
 */
public class QuotaClusterTest {
  private static final TokenLimit SMALL = new TokenLimit(29_000, 29_000);
  private static final TokenLimit LARGE = new TokenLimit(150_000, 150_000);
  private static final double WINDOW = 8;
  private static final QuotaTolerance TOLERANCE = new QuotaTolerance(WINDOW, 0.1, 120_000);

  /** Returns the maximum number of tokens that may be sent in a window. */
  private static double allowed(TokenLimit limit) {
    return (limit.perSecond() * WINDOW + limit.burst()) * (1 + TOLERANCE.share())
        + TOLERANCE.slack();
  }

  /** Asserts that at most a given fraction of all tokens was refused. */
  private static void assertRefused(QuotaCluster cluster, double max) {
    double refused =
        cluster.refusedTokens / (double) (cluster.refusedTokens + cluster.sentTokens());
    assertTrue(refused <= max, "refused " + refused);
  }

  @DataProvider
  static Object[][] sizes() {
    return withRanks(new Object[][] {{8, SMALL}, {60, SMALL}, {60, LARGE}, {330, LARGE}});
  }

  @DataProvider
  static Object[][] ranks() {
    return withRanks(new Object[][] {{}});
  }

  /** Returns each row once with one rank and once with ranks that are drawn. */
  private static Object[][] withRanks(Object[][] rows) {
    List<Object[]> all = new ArrayList<>();
    for (Object[] row : rows) {
      for (QuotaCluster.Ranks ranks : QuotaCluster.Ranks.values()) {
        Object[] extended = Arrays.copyOf(row, row.length + 1);
        extended[row.length] = ranks;
        all.add(extended);
      }
    }
    return all.toArray(new Object[0][]);
  }

  private static QuotaCluster cluster(
      int nodes, TokenLimit limit, QuotaCluster.Ranks ranks, long seed) {
    QuotaCluster cluster = new QuotaCluster(nodes, limit, TOLERANCE, seed);
    cluster.ranks = ranks;
    cluster.setNodeCounts();
    cluster.pass(3_000, 0);
    return cluster;
  }

  /** A workspace that stays below its limit. */
  public static class BelowLimit extends QuotaClusterTest {
    @Test(dataProvider = "sizes")
    public void isNotRefused(int nodes, TokenLimit limit, QuotaCluster.Ranks ranks) {
      QuotaCluster cluster = cluster(nodes, limit, ranks, 1);
      cluster.pass(10_000, 0.8 * limit.perSecond());
      assertEquals(cluster.refused, 0);
    }

    @Test(dataProvider = "sizes")
    public void isNotRefusedWhereAllCallsComeToThreeNodes(
        int nodes, TokenLimit limit, QuotaCluster.Ranks ranks) {
      QuotaCluster cluster = cluster(nodes, limit, ranks, 2);
      cluster.pass(10_000, 0.8 * limit.perSecond(), 3);
      assertEquals(cluster.refused, 0);
    }

    /**
     * Sends bursts of four calls, each of half a second's tokens, at half of the limit on average.
     */
    @Test(dataProvider = "ranks")
    public void isNotRefusedWhereLargeCallsComeTogether(QuotaCluster.Ranks ranks) {
      QuotaCluster cluster = cluster(60, SMALL, ranks, 10);
      for (int i = 0; i < 10; i++) {
        for (int call = 0; call < 4; call++) {
          cluster.nodes.get(cluster.random.nextInt(60)).call(SMALL.perSecond() / 2);
        }
        cluster.pass(4_000, 0);
      }
      assertEquals(cluster.refused, 0);
    }

    @Test(dataProvider = "ranks")
    public void isRarelyRefusedWhenMessagesAreLost(QuotaCluster.Ranks ranks) {
      QuotaCluster cluster = cluster(60, LARGE, ranks, 3);
      cluster.loss = 0.025;
      cluster.pass(10_000, 0.6 * LARGE.perSecond());
      assertRefused(cluster, 0.01);
    }

    @Test(dataProvider = "ranks")
    public void isRarelyRefusedWhenTheCoordinatorStops(QuotaCluster.Ranks ranks) {
      QuotaCluster cluster = cluster(60, LARGE, ranks, 4);
      cluster.pass(2_000, 0.6 * LARGE.perSecond());
      cluster.nodes.getFirst().suspend(60_000);
      cluster.pass(30_000, 0.6 * LARGE.perSecond());
      assertRefused(cluster, 0.01);
    }
  }

  /** A workspace whose demand is many times its limit. */
  public static class AboveLimit extends QuotaClusterTest {
    @Test(dataProvider = "sizes")
    public void getsItsLimitAndNotMore(int nodes, TokenLimit limit, QuotaCluster.Ranks ranks) {
      QuotaCluster cluster = cluster(nodes, limit, ranks, 5);
      cluster.pass(12_000, 4.2 * limit.perSecond());
      long max = cluster.mostInWindow(WINDOW);
      assertTrue(max <= allowed(limit), max + " of " + allowed(limit));
      double min = 0.9 * limit.perSecond() * 12;
      assertTrue(cluster.sentTokens() >= min, cluster.sentTokens() + " of " + min);
    }

    @Test(dataProvider = "ranks")
    public void doesNotGetMoreByThousandsOfRequests(QuotaCluster.Ranks ranks) {
      QuotaCluster cluster = cluster(60, SMALL, ranks, 6);
      cluster.pass(10_000, 40 * SMALL.perSecond());
      long max = cluster.mostInWindow(WINDOW);
      assertTrue(max <= allowed(SMALL), max + " of " + allowed(SMALL));
    }

    @Test(dataProvider = "ranks")
    public void isLimitedWhenTheLimitIsLowered(QuotaCluster.Ranks ranks) {
      QuotaCluster cluster = cluster(60, LARGE, ranks, 7);
      cluster.pass(4_000, 1.2 * LARGE.perSecond());
      cluster.limit = SMALL;
      cluster.pass(1_000, 1.2 * LARGE.perSecond());
      long before = cluster.sentTokens();
      cluster.pass(8_000, 1.2 * LARGE.perSecond());
      long since = cluster.sentTokens() - before;
      assertTrue(since <= allowed(SMALL), since + " of " + allowed(SMALL));
    }
  }

  /** Faults while the demand of a workspace is many times its limit. */
  public static class UnderFaults extends QuotaClusterTest {
    private static final int NODES = 60;

    @DataProvider
    static Object[][] seeds() {
      Object[][] seeds = new Object[40][];
      for (int i = 0; i < seeds.length; i++) {
        seeds[i] = new Object[] {100L + i, i % 2 == 0 ? SMALL : LARGE};
      }
      return withRanks(seeds);
    }

    /**
     * Partitions up to a third of the nodes at a time, suspends nodes, restarts nodes, lets half of
     * the nodes use another coordinator, and loses messages.
     */
    @Test(dataProvider = "seeds")
    public void totalStaysWithinTheLimit(long seed, TokenLimit limit, QuotaCluster.Ranks ranks) {
      QuotaCluster cluster = cluster(NODES, limit, ranks, seed);
      cluster.loss = cluster.random.nextInt(2) * 0.025;
      for (int i = 0; i < 12; i++) {
        injectFault(cluster);
        cluster.pass(300 + cluster.random.nextInt(1_500), 5 * limit.perSecond());
      }
      long max = cluster.mostInWindow(WINDOW);
      assertTrue(max <= allowed(limit), max + " of " + allowed(limit));
    }

    private static void injectFault(QuotaCluster cluster) {
      int one = cluster.random.nextInt(NODES);
      switch (cluster.random.nextInt(6)) {
        case 0 -> partition(cluster, cluster.random.nextInt(NODES / 3 + 1));
        case 1 -> partition(cluster, 0);
        case 2 -> cluster.nodes.get(one).suspend(500 + cluster.random.nextInt(5_000));
        case 3 -> cluster.nodes.getFirst().suspend(1_000);
        case 4 -> splitCoordinators(cluster);
        default -> {
          cluster.nodes.get(one).start();
          cluster.setNodeCounts();
        }
      }
    }

    private static void partition(QuotaCluster cluster, int count) {
      for (QuotaCluster.Node n : cluster.nodes) {
        n.coordinator = n.index < NODES - count ? 0 : -1;
      }
    }

    private static void splitCoordinators(QuotaCluster cluster) {
      for (QuotaCluster.Node n : cluster.nodes) {
        n.coordinator = n.index % 2;
      }
    }
  }

  /** Nodes that have just started while the demand of a workspace is many times its limit. */
  public static class JustStarted extends QuotaClusterTest {
    private static final int NODES = 60;
    private static final int SEEDS = 3;

    @DataProvider
    static Object[][] lives() {
      return withRanks(
          new Object[][] {{SMALL, 2}, {SMALL, 4}, {SMALL, 8}, {LARGE, 2}, {LARGE, 4}, {LARGE, 8}});
    }

    /** Ends all nodes; those that start know all nodes at once. */
    @Test(dataProvider = "lives")
    public void keepTheLimitOverLives(TokenLimit limit, int lives, QuotaCluster.Ranks ranks) {
      QuotaCluster cluster = cluster(NODES, limit, ranks, 300 + lives);
      cluster.pass(2_000, 5 * limit.perSecond());
      for (int life = 1; life < lives; life++) {
        cluster.nodes.forEach(QuotaCluster.Node::start);
        cluster.pass(8_000 / lives, 5 * limit.perSecond());
      }
      long max = cluster.mostInWindow(WINDOW);
      assertTrue(max <= allowed(limit), max + " of " + allowed(limit));
    }

    @DataProvider
    static Object[][] coordinators() {
      return withRanks(new Object[][] {{SMALL, -1}, {SMALL, 0}, {LARGE, -1}, {LARGE, 0}});
    }

    /**
     * Guards against nodes that take the few others that they know for all: a third of the nodes
     * has just started, knows the nodes of its settings only, as the list of nodes is not read, and
     * reaches no coordinator, or each is its own.
     */
    @Test(dataProvider = "coordinators")
    public void keepTheLimitWhileTheNodesAreUnknown(
        TokenLimit limit, int coordinator, QuotaCluster.Ranks ranks) {
      QuotaCluster cluster = cluster(NODES, limit, ranks, 400);
      cluster.pass(2_000, 5 * limit.perSecond());
      for (QuotaCluster.Node n : cluster.nodes.subList(2 * NODES / 3, NODES)) {
        n.start();
        n.coordinator = coordinator;
        n.isOwnCoordinator = coordinator == 0;
        n.knownNodes = SEEDS + 1;
        n.holder.nodes(cluster.now, n.knownNodes);
        n.holder.nodesKnown(cluster.now, false);
      }
      cluster.pass(4_000, 5 * limit.perSecond());
      long max = cluster.mostInWindow(WINDOW);
      assertTrue(max <= allowed(limit), max + " of " + allowed(limit));
    }
  }

  /** Nodes without a coordinator. */
  public static class WithoutCoordinator extends QuotaClusterTest {
    @Test(dataProvider = "ranks")
    public void useTheirShares(QuotaCluster.Ranks ranks) {
      QuotaCluster cluster = cluster(60, LARGE, ranks, 8);
      cluster.nodes.stream().filter(n -> n.index % 3 == 0).forEach(n -> n.coordinator = -1);
      cluster.nodes.stream().filter(n -> n.index % 3 > 0).forEach(n -> n.coordinator = 1);
      cluster.pass(8_000, 0.55 * LARGE.perSecond());
      assertRefused(cluster, 0.05);
    }

    @Test(dataProvider = "ranks")
    public void keepNoTokensOverSuspension(QuotaCluster.Ranks ranks) {
      QuotaCluster cluster = cluster(1, new TokenLimit(1_000, 8_000), ranks, 9);
      QuotaCluster.Node node = cluster.nodes.getFirst();
      node.coordinator = -1;
      node.suspend(60_000);
      cluster.pass(60_100, 0);
      assertTrue(node.holder.held(QuotaCluster.WORKSPACE) <= 200);
    }
  }

  /** Requests and grants that are received twice or late. */
  public static class Repeated {
    private static final HostName NODE = new HostName("node-1");

    @Test
    public void requestGetsTheSameGrant() {
      QuotaCoordinator coordinator = new QuotaCoordinator(QuotaTolerance.NONE);
      QuotaRequest request = request(1, 1_000_000_000L);
      QuotaGrant first = grant(coordinator, request);
      assertEquals(first.shares().getFirst().tokens(), 500);
      assertEquals(grant(coordinator, request), first);
      assertEquals(coordinator.left(QuotaCluster.WORKSPACE, SMALL), 28_500);
    }

    @Test
    public void requestThatComesMuchLaterCountsOnce() {
      QuotaCoordinator coordinator = new QuotaCoordinator(QuotaTolerance.NONE);
      QuotaRequest request = request(1, 100_000_000L);
      QuotaGrant first = grant(coordinator, request);
      long later = 5_000_000_000L;
      HostName other = new HostName("node-2");
      coordinator.grant(later, other, request(1, 0), 1, w -> Optional.of(SMALL));
      assertEquals(coordinator.grant(later, NODE, request, 1, w -> Optional.of(SMALL)), first);
    }

    @Test
    public void grantCountsOnce() {
      QuotaHolder holder = new QuotaHolder(QuotaTolerance.NONE, 1, 0);
      holder.take(0, new RequestId(1), QuotaCluster.WORKSPACE, SMALL, 500, 0, QuotaRank.ONLY);
      QuotaGrant grant =
          grant(
              new QuotaCoordinator(QuotaTolerance.NONE),
              holder.nextRequest(1_000_000_000L, false).orElseThrow());
      assertEquals(holder.granted(1_000_000_000L, grant).size(), 1);
      assertEquals(holder.granted(1_000_000_000L, grant).size(), 0);
      assertEquals(holder.held(QuotaCluster.WORKSPACE), 0);
    }

    private static QuotaRequest request(long sequence, long lent) {
      return new QuotaRequest(
          1,
          sequence,
          lent,
          1,
          ImmutableList.of(new QuotaRequest.Demand(QuotaCluster.WORKSPACE, 500, 500, 0, 0)));
    }

    private static QuotaGrant grant(QuotaCoordinator coordinator, QuotaRequest request) {
      return coordinator.grant(0, NODE, request, 1, w -> Optional.of(SMALL));
    }
  }
}
