/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.UpstreamLife;
import org.larkkeel.lib.UpstreamName;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** What the node that gives room tells of the load of all. */
public class RoomServerTest {
  private static final long MILLI = 1_000_000L;

  /** Longer than the time in which all changes are told. */
  private static final long SETTLED_MILLIS = 800;

  private static UpstreamLife life(int i) {
    return UpstreamLife.unknownStart(new UpstreamName("u-" + i));
  }

  /** The server, and for each node what it makes of the messages that reach it. */
  private static final class World {
    final RoomServer server = new RoomServer(() -> now(), this::received);
    final Map<HostName, Map<UpstreamLife, Long>> reported = new HashMap<>();
    final Map<HostName, Map<UpstreamLife, Long>> heard = new HashMap<>();
    Map<UpstreamLife, Long> own = Map.of();
    private long time = 1_000_000 * MILLI;

    private long now() {
      return time;
    }

    private void received(HostName node, RoomServer.Answer answer) {
      if (answer instanceof RoomServer.Answer.Sums s) {
        Map<UpstreamLife, Long> sums = heard.computeIfAbsent(node, n -> new HashMap<>());
        if (s.isWhole()) {
          sums.clear();
        }
        sums.putAll(s.loads());
        sums.values().removeIf(units -> units == 0);
      }
    }

    void report(String name, Map<UpstreamLife, Long> loads) {
      HostName node = new HostName(name);
      reported.put(node, loads);
      PeerMessage.Sender sender =
          new PeerMessage.Sender(
              node,
              new DataCentreName("dc-1"),
              NodeState.STEADY,
              FeedChanges.NONE,
              ImmutableList.of());
      server.reported(
          PeerMessage.of(PeerMessage.Kind.REPORT, sender)
              .withLoads(ImmutableMap.copyOf(loads), ImmutableSet.of()));
    }

    void own(Map<UpstreamLife, Long> loads) {
      own = loads;
      server.own(ImmutableMap.copyOf(loads));
    }

    /** Lets time pass in which all nodes report the same. */
    void settle() {
      for (long passed = 0; passed < SETTLED_MILLIS; passed += 60) {
        time += 60 * MILLI;
        Map.copyOf(reported).forEach((node, loads) -> report(node.value(), loads));
        server.tellSums();
      }
    }

    /** What all but one node have in flight. */
    Map<UpstreamLife, Long> others(HostName node) {
      Map<UpstreamLife, Long> sum = new HashMap<>(own);
      reported.forEach(
          (other, loads) -> {
            if (!other.equals(node)) {
              loads.forEach((life, units) -> sum.merge(life, units, Long::sum));
            }
          });
      return sum;
    }
  }

  /** Random loads of some nodes. */
  public static class Sums {
    @DataProvider
    static Object[][] seeds() {
      return new Object[][] {{1L}, {2L}, {3L}};
    }

    private static Map<UpstreamLife, Long> loads(SplittableRandom random) {
      Map<UpstreamLife, Long> loads = new HashMap<>();
      for (int i = random.nextInt(4); i > 0; i--) {
        long units = random.nextBoolean() ? 1 + random.nextInt(5) : 1_000 + random.nextInt(9_000);
        loads.put(life(random.nextInt(8)), units);
      }
      return loads;
    }

    @Test(dataProvider = "seeds")
    public void areThoseOfAllOthersForEachNode(long seed) {
      SplittableRandom random = new SplittableRandom(seed);
      World w = new World();
      for (int round = 0; round < 200; round++) {
        for (int i = random.nextInt(5); i > 0; i--) {
          w.report("node-" + random.nextInt(6), loads(random));
        }
        w.own(loads(random));
        w.settle();
        for (HostName node : w.reported.keySet()) {
          assertEquals(w.heard.get(node), w.others(node), node + " in round " + round);
        }
      }
    }
  }

  /** A node that serves for long, in charge or not. */
  public static class Memory {
    @Test
    public void holdsNothingOfUpstreamsThatWereUsedOnce() {
      World w = new World();
      for (int i = 0; i < 5_000; i++) {
        w.own(Map.of(life(i), 3L));
      }
      w.own(Map.of());
      assertEquals(w.server.remembered(), 0);
    }

    @Test
    public void holdsLittleWhileItTells() {
      World w = new World();
      for (int i = 0; i < 500; i++) {
        w.report("node-1", Map.of(life(i), 3L));
        w.settle();
        assertTrue(w.server.remembered() <= 4, "remembered " + w.server.remembered());
      }
    }
  }
}
