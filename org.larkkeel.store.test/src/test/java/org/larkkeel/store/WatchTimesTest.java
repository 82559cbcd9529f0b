/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.SplittableRandom;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests of {@link WatchTimes}.
 *
 * <p>Guards against watches that all expire late. A change had restarted the watches of all eight
 * nodes at once; half a second later the store became unresponsive for 4.3 s without closing
 * connections. No node saw a change for 16 s, and one sent a call to an upstream that had announced
 * 2.85 s earlier that it was leaving.
 */
public class WatchTimesTest {
  private static final Duration MAX_TIMEOUT = Duration.ofSeconds(15);

  /**
   * The time within which one watch must expire: the 4.3 s for which the store was unresponsive,
   * the time for which it counts as unstable, and the remainder of 2 s.
   */
  private static final Duration MAX_FIRST_EXPIRY = Duration.ofMillis(6_400);

  /** Returns the watch times of a node that is no sentinel. */
  private static WatchTimes spread(SplittableRandom random, int nodes) {
    return WatchTimes.spread(MAX_TIMEOUT, random, () -> nodes, () -> nodes);
  }

  /** Watches of several nodes that start together. */
  public static class SmallCluster {
    @Test
    public void oneNodeHasShortTimeout() {
      int late = 0;
      for (int cluster = 0; cluster < 1_000; cluster++) {
        Duration earliest = MAX_TIMEOUT;
        for (int node = 0; node < 8; node++) {
          WatchTimes times = spread(new SplittableRandom(1_000L * node + cluster), 8);
          Duration next = times.nextTimeout();
          assertTrue(next.compareTo(MAX_TIMEOUT) <= 0 && next.toMillis() >= 2_250, next.toString());
          earliest = next.compareTo(earliest) < 0 ? next : earliest;
        }
        late += earliest.compareTo(MAX_FIRST_EXPIRY) > 0 ? 1 : 0;
      }
      assertTrue(late <= 5, late + " of 1000");
    }
  }

  /**
   * Watches of large clusters.
   *
   * <p>Guards against excessive calls to the store. 95 nodes each follow two collections whose
   * entries change in quick succession, as upstreams register or are replaced, and each change ends
   * the watches of all nodes. With the timeouts of a small cluster the calls to the store were the
   * largest cost.
   */
  public static class LargeCluster {
    @DataProvider
    static Object[][] fleets() {
      return new Object[][] {{58}, {95}, {330}};
    }

    @Test(dataProvider = "fleets")
    public void oneNodeHasShortTimeout(int nodes) {
      int late = 0;
      for (int cluster = 0; cluster < 1_000; cluster++) {
        SplittableRandom random = new SplittableRandom(1_000L * nodes + cluster);
        WatchTimes times = spread(random, nodes);
        Duration earliest = MAX_TIMEOUT;
        for (int node = 0; node < nodes; node++) {
          Duration next = times.nextTimeout();
          earliest = next.compareTo(earliest) < 0 ? next : earliest;
        }
        late += earliest.compareTo(MAX_FIRST_EXPIRY) > 0 ? 1 : 0;
      }
      assertTrue(late <= 5, late + " of 1000");
    }

    @Test(dataProvider = "fleets")
    public void mostTimeoutsAreMaximal(int nodes) {
      WatchTimes times = spread(new SplittableRandom(nodes), nodes);
      double seconds = 0;
      for (int i = 0; i < 10_000; i++) {
        seconds += times.nextTimeout().toMillis() / 1e3 / 10_000;
      }
      // At most a third more calls than if all watches lasted for the maximum.
      assertTrue(seconds > 0.75 * MAX_TIMEOUT.toSeconds(), "mean " + seconds);
    }

    @Test
    public void pauseGrowsWithNumberOfNodes() {
      assertEquals(pause(8), Duration.ofMillis(150));
      assertEquals(pause(24), Duration.ofMillis(400));
      assertEquals(pause(60), Duration.ofMillis(1_000));
      assertEquals(pause(95), Duration.ofMillis(1_500));
      assertEquals(pause(330), Duration.ofMillis(1_500));
    }

    @Test
    public void sentinelsHaveMinimumPause() {
      WatchTimes times = WatchTimes.spread(MAX_TIMEOUT, new SplittableRandom(1), () -> 95, () -> 2);
      assertEquals(times.pause(), Duration.ofMillis(150));
    }

    private static Duration pause(int nodes) {
      return spread(new SplittableRandom(1), nodes).pause();
    }
  }

  /** Watches with a fixed timeout. */
  public static class FixedTimeout {
    @Test
    public void isUsedForEachWatch() {
      WatchTimes times = WatchTimes.fixed(MAX_TIMEOUT);
      assertEquals(times.nextTimeout(), MAX_TIMEOUT);
      assertEquals(times.nextTimeout(), MAX_TIMEOUT);
    }
  }
}
