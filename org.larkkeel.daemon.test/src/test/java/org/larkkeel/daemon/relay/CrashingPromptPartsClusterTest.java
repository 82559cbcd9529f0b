/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a failure in which different requests with one part of their prompts in common
 * crashed 24 engines within seconds, as crashes were counted for whole requests only.
 */
public class CrashingPromptPartsClusterTest {
  private static final int SMALL = 8;
  private static final int LARGE = 40;
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
    return new Object[][] {{SMALL, 1}, {SMALL, 2}, {SMALL, 3}, {LARGE, 4}, {LARGE, 5}};
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
  }
}
