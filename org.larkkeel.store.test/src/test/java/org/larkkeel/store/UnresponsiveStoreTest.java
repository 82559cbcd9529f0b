/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

import static org.testng.Assert.assertEquals;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.time.Duration;
import java.util.SplittableRandom;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests the delay of changes when all connections of a cluster to the store become unresponsive at
 * once without being closed.
 *
 * <p>Guards against nodes that all keep using the previous revision after an operator's change is
 * confirmed, without logging that the store is lost. An unresponsive watch is detected by a peer's
 * report of a newer change, or when its timeout expires, up to 15 s later. If all watches are
 * unresponsive, no peer knows of the change until the first timeout expires, which took 5.4 s.
 */
public class UnresponsiveStoreTest {
  private static final String NAME = "main";
  private static final ObjectKey KEY = MirrorCluster.key(NAME);

  /** The time within which a confirmed change must be in force on all nodes. */
  private static final Duration MAX_DELAY = Duration.ofSeconds(2);

  /** The time after a disturbance within which the normal bound holds again. */
  private static final Duration RECOVERY_TIME = Duration.ofSeconds(3);

  /** The maximum interval between a node's reports to its peers. */
  private static final Duration REPORT_PERIOD = Duration.ofMillis(400);

  /** The timeout of a call to the store. */
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);

  /** A cluster whose nodes follow one object and report its newest change to each other. */
  private static final class Cluster {
    final MirrorCluster nodes;

    Cluster(int count, long seed) {
      SplittableRandom random = new SplittableRandom(seed);
      nodes = new MirrorCluster(count, Duration.ZERO, random);
      nodes.apis.forEach(api -> api.setUnresponsiveWatchDelay(CALL_TIMEOUT));
      nodes.reportPeriodically(REPORT_PERIOD, random);
      nodes.create(NAME);
      advance(Duration.ofSeconds(1).plusMillis(random.nextInt(15_000)));
    }

    void advance(Duration d) {
      nodes.time.advance(d);
    }

    void makeConnectionsUnresponsive() {
      nodes.apis.forEach(InMemoryObjectApi::makeConnectionsUnresponsive);
    }

    void change() {
      StoreVersion version = newest();
      nodes.store.update(
          KEY, "thing", JsonNodeFactory.instance.objectNode().put("is", version.number()), version);
    }

    private StoreVersion newest() {
      return nodes.store.get(KEY).resourceVersion();
    }

    /** Returns the number of nodes without the newest version, ignoring the first ones. */
    long countBehind(int ignored) {
      StoreVersion newest = newest();
      return nodes.mirrors.stream()
          .skip(ignored)
          .filter(m -> m.objects().get(NAME).resourceVersion().compareTo(newest) < 0)
          .count();
    }
  }

  @DataProvider
  static Object[][] fleets() {
    return new Object[][] {{1}, {2}, {8}, {40}, {95}};
  }

  /**
   * The delays of a change after the fault in milliseconds: from at once to the end of the recovery
   * time.
   */
  private static final int[] CHANGE_DELAYS_MILLIS = {10, 400, 1_000, 1_900, 2_900};

  /**
   * Returns the time within which all nodes must know of a change that follows the fault after a
   * delay.
   */
  private static Duration maxDelay(Duration changeAfter) {
    Duration remainingRecovery = RECOVERY_TIME.minus(changeAfter);
    return remainingRecovery.compareTo(MAX_DELAY) > 0 ? remainingRecovery : MAX_DELAY;
  }

  private static long countBehind(int nodes, long seed, Duration changeAfter, Duration before) {
    Cluster cluster = new Cluster(nodes, seed);
    if (!before.isZero()) {
      cluster.change();
      cluster.advance(before);
    }
    cluster.makeConnectionsUnresponsive();
    cluster.advance(changeAfter);
    cluster.change();
    cluster.advance(maxDelay(changeAfter));
    return cluster.countBehind(0);
  }

  /** The connections become unresponsive at a random time. */
  @Test(dataProvider = "fleets")
  public void allNodesSeeChangeInTime(int nodes) {
    for (int change : CHANGE_DELAYS_MILLIS) {
      for (int seed = 0; seed < 20; seed++) {
        long behind = countBehind(nodes, seed, Duration.ofMillis(change), Duration.ZERO);
        assertEquals(behind, 0, "nodes behind, change after " + change + " ms, seed " + seed);
      }
    }
  }

  /** The connections become unresponsive when a change has just restarted all watches. */
  @Test(dataProvider = "fleets")
  public void allNodesSeeChangeInTimeAfterWatchesRestarted(int nodes) {
    for (int change : CHANGE_DELAYS_MILLIS) {
      for (int seed = 0; seed < 20; seed++) {
        Duration before = Duration.ofMillis(700);
        long behind = countBehind(nodes, seed, Duration.ofMillis(change), before);
        assertEquals(behind, 0, "nodes behind, change after " + change + " ms, seed " + seed);
      }
    }
  }

  /**
   * The first two nodes by name, which are sentinels, are paused, as when their data centre is
   * partitioned.
   */
  @Test
  public void nodesSeeChangeInTimeWithoutTwoSentinels() {
    for (int change : CHANGE_DELAYS_MILLIS) {
      for (int seed = 0; seed < 20; seed++) {
        Cluster cluster = new Cluster(8, seed);
        cluster.nodes.processes.get(0).pause();
        cluster.nodes.processes.get(1).pause();
        cluster.makeConnectionsUnresponsive();
        cluster.advance(Duration.ofMillis(change));
        cluster.change();
        cluster.advance(maxDelay(Duration.ofMillis(change)));
        assertEquals(
            cluster.countBehind(2), 0, "nodes behind, change after " + change + " ms, " + seed);
      }
    }
  }
}
