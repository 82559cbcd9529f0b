/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.time.Duration;
import java.util.SplittableRandom;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests of a cluster whose nodes need some time to receive a change.
 *
 * <p>Guards against nodes that end their watches in the midst of an answer because peers already
 * have the change, and list the same state anew over a full link.
 */
public class LargeChangesTest {
  private static final String NAME = "main";
  private static final ObjectKey KEY = MirrorCluster.key(NAME);
  private static final Duration REPORT_PERIOD = Duration.ofMillis(400);
  private static final Duration TRANSFER = Duration.ofMillis(600);

  /** The time within which a confirmed change must be in force on all nodes. */
  private static final Duration MAX_DELAY = Duration.ofSeconds(3);

  private static final int CHANGES = 12;

  @DataProvider
  static Object[][] clusters() {
    return new Object[][] {{8, 1_500}, {40, 1_500}, {87, 2_000}};
  }

  private static StoreVersion newest(MirrorCluster cluster) {
    return cluster.store.get(KEY).resourceVersion();
  }

  @Test(dataProvider = "clusters")
  public void arriveInTimeWithoutLossOfWatches(int nodes, int intervalMillis) {
    for (int seed = 0; seed < 10; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      MirrorCluster cluster = new MirrorCluster(nodes, Duration.ZERO, random);
      cluster.reportPeriodically(REPORT_PERIOD, random);
      cluster.create(NAME);
      cluster.time.advance(Duration.ofSeconds(5));
      // Half of the nodes have fast links, and know each change long before the others.
      cluster.apis.subList(nodes / 2, nodes).forEach(api -> api.setTransferTime(TRANSFER));
      for (int i = 0; i < CHANGES; i++) {
        cluster.store.update(
            KEY, "thing", JsonNodeFactory.instance.objectNode().put("is", i), newest(cluster));
        final StoreVersion change = newest(cluster);
        cluster.time.advance(MAX_DELAY);
        long behind =
            cluster.mirrors.stream()
                .filter(m -> change.isAfter(m.objects().get(NAME).resourceVersion()))
                .count();
        assertEquals(behind, 0, "nodes behind, seed " + seed);
        cluster.time.advance(Duration.ofMillis(random.nextInt(intervalMillis)));
      }
      int losses = cluster.mirrors.stream().mapToInt(CollectionMirror::losses).sum();
      assertTrue(losses == 0, losses + " losses, seed " + seed);
    }
  }
}
