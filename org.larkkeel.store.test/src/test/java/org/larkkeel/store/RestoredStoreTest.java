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
 * Nodes that follow a store which comes back from copies, in drawn histories of writes, outages,
 * silent connections and nodes that only hear each other.
 *
 * <p>Guards against nodes that keep what the copy has taken back, or never see what follows it.
 */
public class RestoredStoreTest {
  private static final int NODES = 6;
  private static final int STEPS = 40;
  private static final Duration IN_FORCE = Duration.ofSeconds(2);

  /** A fleet, and what its operator has written. */
  private static final class World {
    final SplittableRandom random;
    final MirrorFleet fleet;
    final Map<String, Integer> written = new HashMap<>();
    private InMemoryStore.Copy copy;
    private int last;

    World(long seed) {
      random = new SplittableRandom(seed);
      fleet = new MirrorFleet(NODES, Duration.ofMillis(2), random.split());
      fleet.tellEach(Duration.ofMillis(400), random.split());
      fleet.time.advance(Duration.ofSeconds(1));
      copy = fleet.store.copy();
    }

    void write(String name) {
      written.put(name, ++last);
      put(name);
    }

    private void put(String name) {
      ObjectKey key = MirrorFleet.key(name);
      var spec = JsonNodeFactory.instance.objectNode().put("is", written.get(name));
      fleet.store.all(MirrorFleet.COLLECTION).stream()
          .filter(o -> o.key().equals(key))
          .findFirst()
          .ifPresentOrElse(
              o -> fleet.store.update(key, "thing", spec, o.resourceVersion()),
              () -> fleet.store.create(key, "thing", spec));
    }

    /** The store is away for a moment, and comes back; its operator writes again. */
    void restore() {
      fleet.store.setOutage(true);
      fleet.time.advance(Duration.ofMillis(200 + random.nextInt(2_000)));
      fleet.store.setOutage(false);
      fleet.store.restore(copy);
      fleet.time.advance(Duration.ofMillis(random.nextInt(300)));
      written.keySet().forEach(this::put);
    }

    void step() {
      switch (random.nextInt(6)) {
        case 0 -> restore();
        case 1 -> copy = fleet.store.copy();
        case 2 -> fleet.apis.get(random.nextInt(NODES)).fallSilent();
        default -> write("thing-" + random.nextInt(5));
      }
      fleet.time.advance(Duration.ofMillis(random.nextInt(1_500)));
    }

    void assertAllKnowAll() {
      for (CollectionMirror mirror : fleet.mirrors) {
        Map<String, Integer> known = new HashMap<>();
        mirror.objects().forEach((name, o) -> known.put(name, o.spec().path("is").asInt()));
        assertEquals(known, written);
      }
    }
  }

  /** Seeds of histories. */
  @DataProvider
  public static Object[][] seeds() {
    Object[][] seeds = new Object[30][];
    for (int i = 0; i < seeds.length; i++) {
      seeds[i] = new Object[] {(long) i};
    }
    return seeds;
  }

  @Test(dataProvider = "seeds")
  public void whatWasWrittenIsKnownToAllInTime(long seed) {
    World w = new World(seed);
    for (int i = 0; i < STEPS; i++) {
      w.step();
    }
    w.restore();
    w.fleet.time.advance(IN_FORCE);
    w.assertAllKnowAll();
    w.write("thing-1");
    w.fleet.time.advance(IN_FORCE);
    w.assertAllKnowAll();
  }

  @Test
  public void thatIsAlikeToTheNumberButNotTheStateIsReadAnew() {
    World w = new World(1);
    w.write("a");
    w.fleet.time.advance(Duration.ofSeconds(1));
    w.fleet.store.restore(w.copy);
    w.written.remove("a");
    w.write("b");
    w.fleet.time.advance(IN_FORCE);
    w.assertAllKnowAll();
  }

  @Test
  public void isAskedForFewTimes() {
    World w = new World(2);
    for (int i = 0; i < 20; i++) {
      w.write("a");
    }
    w.restore();
    w.fleet.time.advance(IN_FORCE);
    int before = w.fleet.store.reads() + w.fleet.store.watches();
    w.fleet.time.advance(Duration.ofSeconds(10));
    int calls = w.fleet.store.reads() + w.fleet.store.watches() - before;
    assertTrue(calls <= 120, calls + " calls of " + NODES + " nodes in 10 s");
  }
}
