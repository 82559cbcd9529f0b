/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.larkkeel.errors.ErrorKind;
import org.larkkeel.lib.UpstreamName;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a failure in which different requests with one part of their prompts in common
 * crashed 24 engines within seconds, as crashes were counted for whole requests only.
 */
public class CrashingPromptPartsClusterTest {
  private static final int SMALL = 8;
  private static final int LARGE = 40;
  private static final int VERY_LARGE = 87;
  private static final int COORDINATOR_FROM = 20;
  private static final int ENGINES = 8;
  private static final long START_MILLIS = 6_000;
  private static final String SYSTEM = "system";
  private static final String DEADLY = "deadly";

  /** The promise counts from this crash on. */
  private static final int COUNTED_CRASHES = 5;

  private static final int MAX_SENDS = 3;
  private static final long PROPAGATION_NANOS = 3_000 * SimCluster.NANOS_PER_MILLI;

  /** Returns numbers of nodes and seeds. */
  @DataProvider
  public static Object[][] clusters() {
    return new Object[][] {
      {SMALL, 1}, {SMALL, 2}, {SMALL, 3}, {LARGE, 4}, {LARGE, 5}, {VERY_LARGE, 6}
    };
  }

  private static SimCluster startedCluster(int nodes, long seed) {
    SimCluster cluster = new SimCluster(nodes, ENGINES, COORDINATOR_FROM, seed);
    cluster.advance(START_MILLIS);
    return cluster;
  }

  private static String[] soundPrompt(SimCluster cluster) {
    return new String[] {SYSTEM, "document-" + cluster.random.nextInt(6)};
  }

  /** Sends different requests with the given parts, beside sound ones with the same first part. */
  private static void repeat(SimCluster cluster, int times, String... parts) {
    for (int i = 0; i < times; i++) {
      cluster.after(i * 400L, () -> cluster.submitPrompt(parts));
    }
    cluster.loadPrompts(times * 2, times * 400L, () -> soundPrompt(cluster));
  }

  private static void assertFewSends(SimCluster cluster) {
    int crashes = cluster.crashes.size();
    if (crashes < COUNTED_CRASHES) {
      return;
    }
    long from = cluster.crashes.get(COUNTED_CRASHES - 1) + PROPAGATION_NANOS;
    long sends = cluster.crashingSends.stream().filter(at -> at > from).count();
    assertTrue(sends <= MAX_SENDS, sends + " sends, " + crashes + " crashes");
  }

  private static void assertNoneQuarantined(SimCluster cluster) {
    assertEquals(cluster.refusals.getOrDefault(ErrorKind.QUARANTINED, 0), Integer.valueOf(0));
  }

  /** A single deadly part. */
  public static class One {
    @Test(dataProvider = "clusters", dataProviderClass = CrashingPromptPartsClusterTest.class)
    public void isNotSentAfterFiveCrashes(int nodes, long seed) {
      SimCluster cluster = startedCluster(nodes, seed);
      cluster.deadlyParts.add(DEADLY);
      repeat(cluster, 75, SYSTEM, DEADLY);
      assertTrue(cluster.crashes.size() > 1, cluster.crashes.size() + " crashes");
      assertFewSends(cluster);
    }

    @Test
    public void isNotSentAfterFiveCrashesWhenMessagesAreLost() {
      SimCluster cluster = startedCluster(SMALL, 6);
      cluster.deadlyParts.add(DEADLY);
      cluster.setLossShare(0.3);
      repeat(cluster, 75, SYSTEM, DEADLY);
      assertFewSends(cluster);
    }

    @Test
    public void isNotSentAfterFiveCrashesIfOtherPartsFollowIt() {
      SimCluster cluster = startedCluster(SMALL, 7);
      cluster.deadlyParts.add(DEADLY);
      for (int i = 0; i < 75; i++) {
        String session = "session-" + i % 5;
        cluster.after(i * 400L, () -> cluster.submitPrompt(SYSTEM, DEADLY, session));
      }
      cluster.loadPrompts(150, 30_000, () -> soundPrompt(cluster));
      assertFewSends(cluster);
    }
  }

  /** Several deadly parts at the same time. */
  public static class Several {
    @Test
    public void areNotSentTogether() {
      SimCluster cluster = startedCluster(SMALL, 13);
      cluster.deadlyParts.add("deadly-0");
      cluster.deadlyParts.add("deadly-1");
      repeat(cluster, 75, SYSTEM, "deadly-0", "deadly-1");
      assertFewSends(cluster);
      assertNoneQuarantined(cluster);
    }

    @Test
    public void areDistinguished() {
      SimCluster cluster = startedCluster(SMALL, 8);
      cluster.deadlyParts.add("deadly-0");
      cluster.deadlyParts.add("deadly-1");
      for (int i = 0; i < 40; i++) {
        String part = "deadly-" + i % 2;
        cluster.after(i * 400L, () -> cluster.submitPrompt(SYSTEM, part));
      }
      cluster.loadPrompts(80, 16_000, () -> soundPrompt(cluster));
      int crashes = cluster.crashes.size();
      repeat(cluster, 10, SYSTEM, "deadly-0");
      repeat(cluster, 10, SYSTEM, "deadly-1");
      assertEquals(cluster.crashes.size(), crashes);
      assertNoneQuarantined(cluster);
    }

    @Test
    public void areNotSentBesideDeadlyRequest() {
      SimCluster cluster = startedCluster(SMALL, 9);
      cluster.deadlyParts.add(DEADLY);
      for (int i = 0; i < 40; i++) {
        cluster.after(i * 400L, () -> cluster.submitPrompt(SYSTEM, DEADLY));
        cluster.after(i * 400L + 200, () -> cluster.submitCrashingCall("crash"));
      }
      cluster.loadPrompts(80, 16_000, () -> soundPrompt(cluster));
      final int crashes = cluster.crashes.size();
      repeat(cluster, 10, SYSTEM, DEADLY);
      cluster.submitCrashingCall("crash");
      cluster.advance(1_000);
      assertEquals(cluster.crashes.size(), crashes);
      assertNoneQuarantined(cluster);
    }
  }

  /** Requests that share other parts with the deadly ones. */
  public static class Others {
    @Test(dataProvider = "clusters", dataProviderClass = CrashingPromptPartsClusterTest.class)
    public void areNotRefusedBecauseOfIt(int nodes, long seed) {
      SimCluster cluster = startedCluster(nodes, seed + 100);
      cluster.deadlyParts.add(DEADLY);
      repeat(cluster, 75, SYSTEM, DEADLY);
      assertNoneQuarantined(cluster);
    }

    @Test(dataProvider = "clusters", dataProviderClass = CrashingPromptPartsClusterTest.class)
    public void areServedAgainWhenItIsQuarantined(int nodes, long seed) {
      SimCluster cluster = startedCluster(nodes, seed + 200);
      cluster.deadlyParts.add(DEADLY);
      repeat(cluster, 25, SYSTEM, DEADLY);
      final int placed = cluster.placed;
      int crashes = cluster.crashes.size();
      for (int i = 0; i < 25; i++) {
        cluster.after(i * 400L, () -> cluster.submitPrompt(SYSTEM, DEADLY));
      }
      cluster.loadPrompts(100, 10_000, () -> soundPrompt(cluster));
      assertEquals(cluster.crashes.size(), crashes);
      assertEquals(cluster.placed - placed, 100);
    }

    @Test
    public void areNotRefusedIfAllNodesAreKilledMeanwhile() {
      SimCluster cluster = startedCluster(SMALL, 14);
      cluster.deadlyParts.add(DEADLY);
      cluster.after(3_000, () -> cluster.restartNodes(700));
      repeat(cluster, 50, SYSTEM, DEADLY);
      assertFewSends(cluster);
      assertNoneQuarantined(cluster);
    }

    @Test
    public void areNotRefusedOnNodesThatHaveServedNothingYet() {
      SimCluster cluster = startedCluster(SMALL, 10);
      cluster.deadlyParts.add(DEADLY);
      for (int i = 0; i < 20; i++) {
        cluster.after(i * 100L, () -> cluster.submitPrompt(SYSTEM, DEADLY));
      }
      cluster.loadPrompts(60, 2_000, () -> soundPrompt(cluster));
      cluster.loadPrompts(60, 10_000, () -> soundPrompt(cluster));
      assertNoneQuarantined(cluster);
    }
  }

  /** Crashes that no part causes. */
  public static class Ordinary {
    private static void crash(SimCluster cluster, int engine) {
      cluster.crash(new UpstreamName("engine-" + engine), 1_500);
    }

    @Test
    public void inSeriesQuarantineNothing() {
      SimCluster cluster = startedCluster(SMALL, 11);
      for (int i = 0; i < 60; i++) {
        int engine = i % ENGINES;
        cluster.after(200 + i * 500L, () -> crash(cluster, engine));
      }
      cluster.loadPrompts(300, 30_000, () -> soundPrompt(cluster));
      assertNoneQuarantined(cluster);
    }

    @Test
    public void ofAllEnginesQuarantineNothing() {
      SimCluster cluster = startedCluster(SMALL, 12);
      for (int i = 0; i < 5; i++) {
        cluster.loadPrompts(40, 1_000, () -> soundPrompt(cluster));
        for (int engine = 0; engine < ENGINES; engine++) {
          crash(cluster, engine);
        }
        cluster.loadPrompts(40, 3_000, () -> soundPrompt(cluster));
      }
      assertNoneQuarantined(cluster);
    }
  }
}
