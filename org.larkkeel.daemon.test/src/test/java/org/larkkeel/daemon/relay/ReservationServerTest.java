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
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.lib.UpstreamName;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of the total loads that the reservation coordinator reports. */
public class ReservationServerTest {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Longer than the interval between two reports of all changes. */
  private static final long SETTLED_MILLIS = 800;

  private static UpstreamIncarnation incarnation(int i) {
    return UpstreamIncarnation.unknown(new UpstreamName("u-" + i));
  }

  /** The server and, for each node, the loads that result from the reports that it received. */
  private static final class Fixture {
    final ReservationServer server = new ReservationServer(() -> now(), this::onAnswer);
    final Map<HostName, Map<UpstreamIncarnation, Long>> reported = new HashMap<>();
    final Map<HostName, Map<UpstreamIncarnation, Long>> received = new HashMap<>();
    Map<UpstreamIncarnation, Long> ownLoads = Map.of();
    private long nowNanos = 1_000_000 * NANOS_PER_MILLI;

    private long now() {
      return nowNanos;
    }

    private void onAnswer(HostName node, ReservationServer.Answer answer) {
      if (answer instanceof ReservationServer.Answer.TotalLoads s) {
        Map<UpstreamIncarnation, Long> loads = received.computeIfAbsent(node, n -> new HashMap<>());
        if (s.isComplete()) {
          loads.clear();
        }
        loads.putAll(s.loads());
        loads.values().removeIf(units -> units == 0);
      }
    }

    void report(String name, Map<UpstreamIncarnation, Long> loads) {
      HostName node = new HostName(name);
      reported.put(node, loads);
      PeerMessage.Sender sender =
          new PeerMessage.Sender(
              node,
              new DataCentreName("dc-1"),
              NodeState.STEADY,
              FeedChanges.NONE,
              ImmutableList.of());
      server.received(
          PeerMessage.of(PeerMessage.Kind.REPORT, sender)
              .withLoads(ImmutableMap.copyOf(loads), ImmutableSet.of()));
    }

    void ownLoads(Map<UpstreamIncarnation, Long> loads) {
      ownLoads = loads;
      server.ownLoads(ImmutableMap.copyOf(loads));
    }

    /** Advances the time while all nodes repeat their reports. */
    void settle() {
      for (long passed = 0; passed < SETTLED_MILLIS; passed += 60) {
        nowNanos += 60 * NANOS_PER_MILLI;
        Map.copyOf(reported).forEach((node, loads) -> report(node.value(), loads));
        server.sendTotalLoads();
      }
    }

    /** Returns the total load of all nodes but one. */
    Map<UpstreamIncarnation, Long> loadsOfOthers(HostName node) {
      Map<UpstreamIncarnation, Long> total = new HashMap<>(ownLoads);
      reported.forEach(
          (other, loads) -> {
            if (!other.equals(node)) {
              loads.forEach((incarnation, units) -> total.merge(incarnation, units, Long::sum));
            }
          });
      return total;
    }
  }

  /** Totals of random loads. */
  public static class TotalLoads {
    @DataProvider
    static Object[][] seeds() {
      return new Object[][] {{1L}, {2L}, {3L}};
    }

    private static Map<UpstreamIncarnation, Long> loads(SplittableRandom random) {
      Map<UpstreamIncarnation, Long> loads = new HashMap<>();
      for (int i = random.nextInt(4); i > 0; i--) {
        long units = random.nextBoolean() ? 1 + random.nextInt(5) : 1_000 + random.nextInt(9_000);
        loads.put(incarnation(random.nextInt(8)), units);
      }
      return loads;
    }

    @Test(dataProvider = "seeds")
    public void excludeTheLoadOfTheReceiver(long seed) {
      SplittableRandom random = new SplittableRandom(seed);
      Fixture fixture = new Fixture();
      for (int round = 0; round < 200; round++) {
        for (int i = random.nextInt(5); i > 0; i--) {
          fixture.report("node-" + random.nextInt(6), loads(random));
        }
        fixture.ownLoads(loads(random));
        fixture.settle();
        for (HostName node : fixture.reported.keySet()) {
          assertEquals(
              fixture.received.get(node), fixture.loadsOfOthers(node), node + " in round " + round);
        }
      }
    }
  }

  /** Bounds on the state that a long-running node keeps, whether it is the coordinator or not. */
  public static class Memory {
    @Test
    public void dropsUpstreamsWithoutLoad() {
      Fixture fixture = new Fixture();
      for (int i = 0; i < 5_000; i++) {
        fixture.ownLoads(Map.of(incarnation(i), 3L));
      }
      fixture.ownLoads(Map.of());
      assertEquals(fixture.server.trackedIncarnations(), 0);
    }

    @Test
    public void isBoundedWhileReporting() {
      Fixture fixture = new Fixture();
      for (int i = 0; i < 500; i++) {
        fixture.report("node-1", Map.of(incarnation(i), 3L));
        fixture.settle();
        assertTrue(
            fixture.server.trackedIncarnations() <= 4,
            "remembered " + fixture.server.trackedIncarnations());
      }
    }
  }
}
