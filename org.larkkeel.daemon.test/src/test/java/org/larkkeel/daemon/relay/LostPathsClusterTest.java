/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.larkkeel.errors.ErrorKind;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests of nodes that lose their paths to all upstreams while callers and the other nodes reach
 * them.
 *
 * <p>Guards against a failure in which such nodes refused or lost every call, reported upstreams
 * that others used as ended, and quarantined requests that were lost with their connections.
 */
public class LostPathsClusterTest {
  private static final int NODES = 8;
  private static final int ENGINES = 12;
  private static final int COORDINATOR_FROM = 20;
  private static final long START_MILLIS = 6_000;
  private static final long CUT_MILLIS = 9_000;

  /** The time after the begin of a cut from which callers must be served. */
  private static final long DETECTION_NANOS = 3_000 * SimCluster.NANOS_PER_MILLI;

  /** The minimum share of calls that are served at nodes without paths, relative to the others. */
  private static final double MIN_RELATIVE_SHARE = 2.0 / 3;

  /** Failed calls at nodes without paths: a fixed number and a share of all their calls. */
  private static final int MAX_FAILED = 10;

  private static final double MAX_FAILED_SHARE = 0.02;

  private LostPathsClusterTest() {}

  /** Returns the kinds of cuts with the number of nodes that are cut and a seed. */
  @DataProvider
  public static Object[][] cuts() {
    return new Object[][] {
      {SimPaths.Cut.DROPS, 3, 1},
      {SimPaths.Cut.DROPS, 6, 2},
      {SimPaths.Cut.RESETS, 3, 3},
      {SimPaths.Cut.RESETS, 5, 4},
      {SimPaths.Cut.REFUSES_NEW, 3, 5},
      {SimPaths.Cut.REFUSES_NEW, 1, 6},
    };
  }

  private static SimCluster startedCluster(long seed) {
    SimCluster cluster = new SimCluster(NODES, ENGINES, COORDINATOR_FROM, seed);
    cluster.advance(START_MILLIS);
    load(cluster, 3_000);
    return cluster;
  }

  /** Sends 45 plain calls and 6 streams a second. */
  private static void load(SimCluster cluster, long millis) {
    for (long i = 0; i < millis * 6 / 1_000; i++) {
      cluster.after(i * 1_000 / 6, () -> cluster.anyNode().submitCall());
    }
    cluster.loadPlain((int) (millis * 45 / 1_000), millis);
  }

  private static double share(List<SimCluster.Node> nodes, long from, long until) {
    int served = nodes.stream().mapToInt(n -> n.tries.served(from, until)).sum();
    int count = nodes.stream().mapToInt(n -> n.tries.count(from, until)).sum();
    return (double) served / Math.max(1, count);
  }

  private static void assertServed(SimCluster cluster, int cutNodes, long from, long until) {
    List<SimCluster.Node> cut = cluster.nodes.subList(0, cutNodes);
    List<SimCluster.Node> others = cluster.nodes.subList(cutNodes, NODES);
    double own = share(cut, from, until);
    double other = share(others, from, until);
    assertTrue(other > 0.9, other + " of the calls are served at the other nodes");
    assertTrue(own >= MIN_RELATIVE_SHARE * other, own + " are served, " + other + " elsewhere");
    int calls = cut.stream().mapToInt(n -> n.tries.count(from, until)).sum();
    assertTrue(
        (1 - own) * calls <= MAX_FAILED + MAX_FAILED_SHARE * calls,
        own + " of " + calls + " calls are served");
  }

  /** The calls at nodes without paths. */
  public static class Calls {
    @Test(dataProvider = "cuts", dataProviderClass = LostPathsClusterTest.class)
    public void areServedWhileOtherNodesReachUpstreams(SimPaths.Cut cut, int nodes, long seed) {
      SimCluster cluster = startedCluster(seed);
      final long begin = cluster.nowNanos();
      cluster.loseUpstreams(cluster.nodes.subList(0, nodes), cut, CUT_MILLIS);
      load(cluster, CUT_MILLIS);
      long end = cluster.nowNanos();
      load(cluster, 5_000);
      assertServed(cluster, nodes, begin + DETECTION_NANOS, end);
    }
  }

  /** The evidence that nodes without paths give to the others. */
  public static class Evidence {
    @Test
    public void quarantinesNoRequestThatWasLostWithItsConnection() {
      SimCluster cluster = startedCluster(7);
      cluster.loseUpstreams(cluster.nodes.subList(0, 5), SimPaths.Cut.RESETS, CUT_MILLIS);
      // Lost with pooled connections, before any node knows of the cut.
      for (int i = 0; i < 3; i++) {
        cluster.nodes.subList(0, 5).forEach(SimCluster.Node::submitRepeatedCall);
      }
      for (int i = 0; i < 90; i++) {
        cluster.after(i * 100L, () -> cluster.anyNode().submitRepeatedCall());
      }
      load(cluster, CUT_MILLIS + 3_000);
      assertEquals(cluster.refusals.getOrDefault(ErrorKind.QUARANTINED, 0).intValue(), 0);
    }
  }
}
