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
 * Nodes whose connections to the store all fall silent at once, without an end.
 *
 * <p>Seen: an operator's change was confirmed, and all nodes refused calls on its route with the
 * revision before, in one moment, without a line that one had lost the store. Cause: a silent watch
 * was found dead by the word of a node that knew more, or when its time was over, up to 15 s later;
 * when all are silent no node knows more. Proof: in such a fleet the first node that read anew was
 * the one whose watch was over first, 5.4 s after the change, and the others followed by its word.
 */
public class SilentFleetTest {
  private static final String NAME = "main";
  private static final ObjectKey KEY = MirrorFleet.key(NAME);

  /** Within this time after a change is confirmed, it is in force everywhere. */
  private static final Duration IN_FORCE = Duration.ofSeconds(2);

  /** Within this time after a disturbance, the times of calm days hold again. */
  private static final Duration CALM = Duration.ofSeconds(3);

  /** How often a node tells the others what it has seen, at the least. */
  private static final Duration TOLD = Duration.ofMillis(400);

  /** The longest time of a call of the store. */
  private static final Duration CALL = Duration.ofSeconds(1);

  /** Nodes that follow one object and tell each other what they have seen of it. */
  private static final class Fleet {
    final MirrorFleet nodes;

    Fleet(int count, long seed) {
      SplittableRandom random = new SplittableRandom(seed);
      nodes = new MirrorFleet(count, Duration.ZERO, random);
      nodes.apis.forEach(api -> api.setAnswerTime(CALL));
      nodes.tellEach(TOLD, random);
      nodes.create(NAME);
      advance(Duration.ofSeconds(1).plusMillis(random.nextInt(15_000)));
    }

    void advance(Duration d) {
      nodes.time.advance(d);
    }

    void fallSilent() {
      nodes.apis.forEach(InMemoryObjectApi::fallSilent);
    }

    void change() {
      StoreVersion version = newest();
      nodes.store.update(
          KEY, "thing", JsonNodeFactory.instance.objectNode().put("is", version.number()), version);
    }

    private StoreVersion newest() {
      return nodes.store.get(KEY).resourceVersion();
    }

    /** How many nodes do not know the newest, but for the first so many. */
    long behind(int first) {
      StoreVersion newest = newest();
      return nodes.mirrors.stream()
          .skip(first)
          .filter(m -> m.objects().get(NAME).resourceVersion().compareTo(newest) < 0)
          .count();
    }
  }

  @DataProvider
  static Object[][] fleets() {
    return new Object[][] {{1}, {2}, {8}, {40}, {95}};
  }

  /** How long after the silence a change comes: from at once to the end of the calm. */
  private static final int[] CHANGES = {10, 400, 1_000, 1_900, 2_900};

  /** Within which time after a change all must know of it. */
  private static Duration bound(Duration changeAfter) {
    Duration rest = CALM.minus(changeAfter);
    return rest.compareTo(IN_FORCE) > 0 ? rest : IN_FORCE;
  }

  private static long behind(int nodes, long seed, Duration changeAfter, Duration before) {
    Fleet fleet = new Fleet(nodes, seed);
    if (!before.isZero()) {
      fleet.change();
      fleet.advance(before);
    }
    fleet.fallSilent();
    fleet.advance(changeAfter);
    fleet.change();
    fleet.advance(bound(changeAfter));
    return fleet.behind(0);
  }

  /** The silence comes at any time. */
  @Test(dataProvider = "fleets")
  public void knowsOfChangesInTime(int nodes) {
    for (int change : CHANGES) {
      for (int seed = 0; seed < 20; seed++) {
        long behind = behind(nodes, seed, Duration.ofMillis(change), Duration.ZERO);
        assertEquals(behind, 0, "nodes behind, change after " + change + " ms, seed " + seed);
      }
    }
  }

  /** The silence comes when all watches have just begun anew, with a change before it. */
  @Test(dataProvider = "fleets")
  public void knowsOfChangesInTimeAfterAllWatchesBegan(int nodes) {
    for (int change : CHANGES) {
      for (int seed = 0; seed < 20; seed++) {
        Duration before = Duration.ofMillis(700);
        long behind = behind(nodes, seed, Duration.ofMillis(change), before);
        assertEquals(behind, 0, "nodes behind, change after " + change + " ms, seed " + seed);
      }
    }
  }

  /** The first two nodes by name stand still, as when their data centre is away. */
  @Test
  public void knowsOfChangesInTimeWithoutItsFirstNodes() {
    for (int change : CHANGES) {
      for (int seed = 0; seed < 20; seed++) {
        Fleet fleet = new Fleet(8, seed);
        fleet.nodes.processes.get(0).pause();
        fleet.nodes.processes.get(1).pause();
        fleet.fallSilent();
        fleet.advance(Duration.ofMillis(change));
        fleet.change();
        fleet.advance(bound(Duration.ofMillis(change)));
        assertEquals(fleet.behind(2), 0, "nodes behind, change after " + change + " ms, " + seed);
      }
    }
  }
}
