/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.larkkeel.errors.ErrorKind;
import org.larkkeel.quota.TokenLimit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that quotas of workspaces hold over all nodes, which exchange datagrams that may be lost.
 */
public class QuotaSharingTest {
  private static final int CALL_TOKENS = SimCluster.PROMPT_TOKENS + 100;
  private static final TokenLimit LIMIT = new TokenLimit(10 * CALL_TOKENS, 10 * CALL_TOKENS);
  private static final String HOT = "hot";
  private static final String QUIET = "calm";

  private static SimCluster cluster(int nodes, long seed) {
    SimCluster cluster = new SimCluster(nodes, 4, 16, seed);
    cluster.workspaces(2, LIMIT, HOT, QUIET);
    cluster.advance(4_000);
    return cluster;
  }

  private static int overLimit(SimCluster cluster) {
    return cluster.refusals.getOrDefault(ErrorKind.WORKSPACE_LIMIT, 0);
  }

  @DataProvider
  static Object[][] sizes() {
    return new Object[][] {{8}, {60}};
  }

  /** Calls within the limit. */
  public static class Within extends QuotaSharingTest {
    @Test(dataProvider = "sizes")
    public void areNotRefused(int nodes) {
      SimCluster cluster = cluster(nodes, 1);
      cluster.loadFor(QUIET, 60, 10_000);
      assertEquals(cluster.refused, 0);
    }

    @Test(dataProvider = "sizes")
    public void areNotRefusedBesideOverloadedWorkspaces(int nodes) {
      SimCluster cluster = cluster(nodes, 2);
      cluster.loadFor(HOT, 400, 5_000);
      cluster.advance(500);
      int previous = overLimit(cluster);
      cluster.loadFor(QUIET, 30, 5_000);
      assertEquals(overLimit(cluster), previous);
    }

    @Test(dataProvider = "sizes")
    public void areHardlyRefusedWhenTheCoordinatorCrashes(int nodes) {
      SimCluster cluster = cluster(nodes, 3);
      cluster.loadFor(QUIET, 24, 4_000);
      cluster.nodes.getFirst().kill();
      cluster.loadFor(QUIET, 180, 30_000);
      assertTrue(overLimit(cluster) <= 2, overLimit(cluster) + " of 204 refused");
    }
  }

  /** Calls beyond the limit. */
  public static class Beyond extends QuotaSharingTest {
    @Test(dataProvider = "sizes")
    public void areRefused(int nodes) {
      SimCluster cluster = cluster(nodes, 4);
      cluster.loadFor(HOT, 800, 10_000);
      int sent = 800 - overLimit(cluster);
      assertTrue(sent >= 95 && sent <= 135, "sent " + sent + " of 110 allowed");
    }
  }
}
