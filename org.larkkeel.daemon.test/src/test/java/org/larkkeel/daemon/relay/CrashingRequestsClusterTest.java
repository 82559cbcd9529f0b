/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.MoreCollectors;
import java.util.HashSet;
import java.util.Set;
import java.util.stream.IntStream;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.lib.Fingerprint;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.relay.CrashSuspect;
import org.larkkeel.relay.RelayEvent;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that a request which crashes the upstreams that run it is quarantined in the whole cluster.
 *
 * <p>Guards against a failure in which one request crashed ten and fourteen engines within seconds,
 * each time together with the streams of other callers there. It was retried again and again as a
 * new call at any node, and no state outlived a call, so no node knew what the request had done at
 * others, or at itself a moment before. The log of lost attempts identified it: one request was
 * present at every crash, while the requests beside it differed.
 */
public class CrashingRequestsClusterTest {
  private static final int SMALL = 8;
  private static final int LARGE = 40;
  private static final int COORDINATOR_FROM = 20;
  private static final int ENGINES = 8;
  private static final long START_MILLIS = 6_000;

  /**
   * The maximum number of sends by the whole cluster after all nodes should know of the third
   * crash.
   */
  private static final int MAX_SENDS = 3;

  private static final int QUARANTINE_CRASHES = 3;
  private static final long PROPAGATION_NANOS = 3_000 * SimCluster.NANOS_PER_MILLI;

  /** Returns numbers of nodes and seeds. */
  @DataProvider
  public static Object[][] clusters() {
    return new Object[][] {{SMALL, 1}, {SMALL, 2}, {SMALL, 3}, {LARGE, 4}, {LARGE, 5}};
  }

  private static SimCluster startedCluster(int nodes, long seed) {
    SimCluster cluster = new SimCluster(nodes, ENGINES, COORDINATOR_FROM, seed);
    cluster.advance(START_MILLIS);
    return cluster;
  }

  /** Submits a request repeatedly at random nodes, beside the calls of others. */
  private static void repeat(SimCluster cluster, String body, int times) {
    for (int i = 0; i < times; i++) {
      cluster.after(i * 400L, () -> cluster.submitCrashingCall(body));
    }
    cluster.load(times * 2, times * 400L);
  }

  private static long sendsAfterThirdCrash(SimCluster cluster) {
    long from = cluster.crashes.get(QUARANTINE_CRASHES - 1) + PROPAGATION_NANOS;
    return cluster.crashingSends.stream().filter(at -> at > from).count();
  }

  /** A single crashing request. */
  public static class One {
    @Test(dataProvider = "clusters", dataProviderClass = CrashingRequestsClusterTest.class)
    public void isNotSentAfterItCrashedThreeEngines(int nodes, long seed) {
      SimCluster cluster = startedCluster(nodes, seed);
      repeat(cluster, "crash", 75);
      assertTrue(
          cluster.crashes.size() >= QUARANTINE_CRASHES,
          cluster.crashes.size() + " engines crashed");
      long sends = sendsAfterThirdCrash(cluster);
      assertTrue(sends <= MAX_SENDS, sends + " sends, " + cluster.crashes.size() + " crashes");
    }

    @Test
    public void isNotSentAfterwardsWhenMessagesAreLost() {
      SimCluster cluster = startedCluster(SMALL, 6);
      cluster.setLossShare(0.3);
      repeat(cluster, "crash", 75);
      assertTrue(sendsAfterThirdCrash(cluster) <= MAX_SENDS, cluster.crashes.size() + " crashes");
    }
  }

  /** Several crashing requests at the same time. */
  public static class Several {
    @Test
    public void areDistinguished() {
      SimCluster cluster = startedCluster(SMALL, 7);
      for (int i = 0; i < 40; i++) {
        String body = "crash-" + i % 2;
        cluster.after(i * 400L, () -> cluster.submitCrashingCall(body));
      }
      cluster.load(80, 16_000);
      int crashed = cluster.crashes.size();
      assertTrue(crashed >= 2 * QUARANTINE_CRASHES, crashed + " engines crashed");
      repeat(cluster, "crash-0", 10);
      repeat(cluster, "crash-1", 10);
      assertEquals(cluster.crashes.size(), crashed);
    }
  }

  /** Upstream crashes that no request caused. */
  public static class Ordinary {
    private static final int CALLS = 120;
    private static final long MILLIS = 2_000;

    /**
     * Each node that lost a call must report it to fewer than all peers; counts the messages beyond
     * those of a period without crashes.
     */
    @Test
    public void areNotReportedToAllNodesOfLargeCluster() {
      SimCluster cluster = startedCluster(LARGE, 10);
      cluster.load(CALLS, MILLIS);
      int before = cluster.messages;
      cluster.load(CALLS, MILLIS);
      final int baseline = cluster.messages - before;
      UpstreamName engine = new UpstreamName("engine-1");
      int lost = cluster.running.get(engine);
      assertTrue(lost > 5, lost + " calls run at the engine");
      before = cluster.messages;
      cluster.crash(engine, 1_000);
      cluster.load(CALLS, MILLIS);
      int more = cluster.messages - before - baseline;
      assertTrue(more < lost * (LARGE - 1), more + " messages for " + lost + " lost calls");
    }
  }

  /** The calls of other callers. */
  public static class Others {
    @Test
    public void areServedAsBefore() {
      SimCluster cluster = startedCluster(SMALL, 8);
      repeat(cluster, "crash", 75);
      int placed = cluster.placed;
      int crashed = cluster.crashes.size();
      cluster.load(100, 10_000);
      assertEquals(cluster.placed - placed, 100);
      assertEquals(cluster.crashes.size(), crashed);
    }

    @Test
    public void areNotRefusedBecauseOfIt() {
      SimCluster cluster = startedCluster(SMALL, 9);
      repeat(cluster, "crash", 75);
      Set<ErrorKind> kinds = new HashSet<>(cluster.refusals.keySet());
      kinds.removeAll(
          Set.of(ErrorKind.OVERLOADED, ErrorKind.NO_UPSTREAM, ErrorKind.UPSTREAM_FAILED));
      assertEquals(kinds, Set.of());
    }
  }

  /** Ends of all nodes, after which only the store remembers. */
  public static class EndsOfAllNodes {
    private static final int LIVES = 5;
    private static final int CRASHES_A_LIFE = 2;

    /** Returns the nodes at which a request is released. */
    @DataProvider
    public static Object[][] releasingNodes() {
      return IntStream.range(0, SMALL).mapToObj(n -> new Object[] {n}).toArray(Object[][]::new);
    }

    /** Guards against a verdict that comes back from the store after it was lifted. */
    @Test(dataProvider = "releasingNodes")
    public void doNotUndoRelease(int node) {
      SimCluster cluster = startedCluster(SMALL, 11);
      repeat(cluster, "crash", 20);
      Fingerprint request = quarantined(cluster);
      SimCluster.Node releasing = cluster.nodes.get(node);
      releasing.submit(new RelayEvent.Released(cluster.nowNanos(), request));
      cluster.advance(3_000);
      assertEquals(quarantiningNodes(cluster, request), 0);
      cluster.restartNodes(700);
      cluster.advance(3_000);
      assertEquals(quarantiningNodes(cluster, request), 0);
    }

    /** Guards against a request that crashes two engines in each life of the nodes. */
    @Test
    public void keepCrashesBelowVerdict() {
      SimCluster cluster = startedCluster(SMALL, 12);
      for (int life = 0; life < LIVES; life++) {
        int before = cluster.crashes.size();
        for (int i = 0; i < 20 && cluster.crashes.size() < before + CRASHES_A_LIFE; i++) {
          cluster.submitCrashingCall("crash");
          cluster.load(2, 400);
        }
        cluster.load(4, 800);
        cluster.restartNodes(700);
        cluster.load(10, 4_000);
      }
      long sends = sendsAfterThirdCrash(cluster);
      assertTrue(sends <= MAX_SENDS, sends + " sends, " + cluster.crashes.size() + " crashes");
    }

    private static Fingerprint quarantined(SimCluster cluster) {
      return cluster.nodes.getFirst().router.suspects(cluster.nowNanos()).stream()
          .map(CrashSuspect::id)
          .filter(id -> quarantiningNodes(cluster, id) == SMALL)
          .collect(MoreCollectors.onlyElement());
    }

    private static long quarantiningNodes(SimCluster cluster, Fingerprint request) {
      return cluster.nodes.stream()
          .filter(n -> n.router.remainingQuarantineNanos(cluster.nowNanos(), request) > 0)
          .count();
    }
  }
}
