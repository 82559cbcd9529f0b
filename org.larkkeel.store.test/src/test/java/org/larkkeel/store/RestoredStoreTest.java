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
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that nodes converge when their store is restored from backups, in random histories of
 * writes, outages and unresponsive connections, with nodes that report their newest change to each
 * other.
 *
 * <p>Guards against nodes that keep objects which the restore has undone, or that never see the
 * changes after it.
 */
public class RestoredStoreTest {
  private static final int NODES = 6;
  private static final int STEPS = 40;
  private static final Duration MAX_DELAY = Duration.ofSeconds(2);

  /** A cluster and the objects that its operator has written. */
  private static final class Rig {
    final SplittableRandom random;
    final MirrorCluster cluster;
    final Map<String, Integer> written = new HashMap<>();
    private InMemoryStore.Backup backup;
    private int lastValue;

    Rig(long seed) {
      random = new SplittableRandom(seed);
      cluster = new MirrorCluster(NODES, Duration.ofMillis(2), random.split());
      cluster.reportPeriodically(Duration.ofMillis(400), random.split());
      cluster.time.advance(Duration.ofSeconds(1));
      backup = cluster.store.backUp();
    }

    void write(String name) {
      written.put(name, ++lastValue);
      put(name);
    }

    private void put(String name) {
      ObjectKey key = MirrorCluster.key(name);
      var spec = JsonNodeFactory.instance.objectNode().put("is", written.get(name));
      cluster.store.all(MirrorCluster.COLLECTION).stream()
          .filter(o -> o.key().equals(key))
          .findFirst()
          .ifPresentOrElse(
              o -> cluster.store.update(key, "thing", spec, o.resourceVersion()),
              () -> cluster.store.create(key, "thing", spec));
    }

    /**
     * Restores the store from the last backup after a short outage; the operator then repeats all
     * writes.
     */
    void restore() {
      cluster.store.setOutage(true);
      cluster.time.advance(Duration.ofMillis(200 + random.nextInt(2_000)));
      cluster.store.setOutage(false);
      cluster.store.restore(backup);
      cluster.time.advance(Duration.ofMillis(random.nextInt(300)));
      written.keySet().forEach(this::put);
    }

    void step() {
      switch (random.nextInt(6)) {
        case 0 -> restore();
        case 1 -> backup = cluster.store.backUp();
        case 2 -> cluster.apis.get(random.nextInt(NODES)).makeConnectionsUnresponsive();
        default -> write("thing-" + random.nextInt(5));
      }
      cluster.time.advance(Duration.ofMillis(random.nextInt(1_500)));
    }

    void assertAllConverged() {
      for (CollectionMirror mirror : cluster.mirrors) {
        Map<String, Integer> known = new HashMap<>();
        mirror.objects().forEach((name, o) -> known.put(name, o.spec().path("is").asInt()));
        assertEquals(known, written);
      }
    }
  }

  /** The seeds of the random histories. */
  @DataProvider
  public static Object[][] seeds() {
    Object[][] seeds = new Object[30][];
    for (int i = 0; i < seeds.length; i++) {
      seeds[i] = new Object[] {(long) i};
    }
    return seeds;
  }

  @Test(dataProvider = "seeds")
  public void allNodesConvergeInTime(long seed) {
    Rig w = new Rig(seed);
    for (int i = 0; i < STEPS; i++) {
      w.step();
    }
    w.restore();
    w.cluster.time.advance(MAX_DELAY);
    w.assertAllConverged();
    w.write("thing-1");
    w.cluster.time.advance(MAX_DELAY);
    w.assertAllConverged();
  }

  @Test
  public void otherStateWithEqualVersionNumberIsListed() {
    Rig w = new Rig(1);
    w.write("a");
    w.cluster.time.advance(Duration.ofSeconds(1));
    w.cluster.store.restore(w.backup);
    w.written.remove("a");
    w.write("b");
    w.cluster.time.advance(MAX_DELAY);
    w.assertAllConverged();
  }

  @Test
  public void nodesMakeFewCallsAfterRestore() {
    Rig w = new Rig(2);
    for (int i = 0; i < 20; i++) {
      w.write("a");
    }
    w.restore();
    w.cluster.time.advance(MAX_DELAY);
    int before = w.cluster.store.reads() + w.cluster.store.watches();
    w.cluster.time.advance(Duration.ofSeconds(10));
    int calls = w.cluster.store.reads() + w.cluster.store.watches() - before;
    assertTrue(calls <= 120, calls + " calls of " + NODES + " nodes in 10 s");
  }
}
