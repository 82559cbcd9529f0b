/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that decisions at engines of the same speed are those of the router before it measured
 * speeds: guards against a change of placement, or of the random draws, where speeds are not used.
 *
 * <p>The digests are of the decisions of the router before speeds were measured. A change of other
 * decisions that is intended changes them, too; then they are taken from a run of that change
 * without the use of speeds.
 */
public class EvenEnginesTest {
  static EngineSim history(long seed) {
    EngineSim sim = new EngineSim(seed, 3);
    for (int i = 1; i <= 3; i++) {
      sim.add("read-" + i, Stage.PREFILL, 1);
    }
    for (int i = 1; i <= 8; i++) {
      sim.add("run-" + i, Stage.DECODE, 1);
    }
    sim.list();
    sim.report(12_000);
    sim.arrivals(10, 4_000);
    sim.pass(4_000);
    // A burst beyond the capacity, with engines that end, pause and appear.
    sim.arrivals(30, 4_000);
    sim.pass(1_000);
    sim.restart(sim.engines.values().stream().skip(sim.random.nextInt(11)).findFirst().get());
    sim.pass(1_000);
    sim.add("run-9", Stage.DECODE, 1);
    sim.list();
    sim.pass(1_000);
    sim.engines.values().forEach(e -> e.pausedUntil = sim.now() + 200 * EngineSim.MILLI);
    sim.pass(5_000);
    return sim;
  }

  static String digest(EngineSim sim) {
    Hasher h = Hashing.murmur3_128().newHasher();
    sim.decisions.forEach(
        d -> h.putString(RandomHistory.textWithoutDefaults(d), StandardCharsets.UTF_8));
    return h.hash().toString();
  }

  /** Returns seeds with the digests of their decisions. */
  @DataProvider
  public Object[][] digests() {
    return new Object[][] {
      {1L, "4b07a8c8404975966332009ecf15ca2a"},
      {2L, "0c7971c66fbd0734c61a2d2f78fd1b7b"},
      {3L, "ed38e94cee8b471186a2a5128eb78712"},
      {4L, "732a519b1329d57230fcee09245ea922"},
      {5L, "378631525c8629d1752e32f876c8b652"},
      {6L, "f99da08e706566e7d239759064f1faf6"},
      {7L, "58d5bd66b9e6a82fc159a2fdb17a3eab"},
      {8L, "fc390c6cacfec0606eed9f6dec463c3e"}
    };
  }

  /** Compares the decisions with those before speeds were measured. */
  @Test(dataProvider = "digests")
  public void decidesAsBefore(long seed, String digest) {
    EngineSim sim = history(seed);
    assertTrue(
        sim.nodes.stream().noneMatch(n -> n.router.takeSpeedSamples(sim.now()).isEmpty()),
        "the history measures speeds");
    assertTrue(sim.refused > 20, "the history exceeds the capacity");
    assertEquals(digest(sim), digest, "seed " + seed);
  }
}
