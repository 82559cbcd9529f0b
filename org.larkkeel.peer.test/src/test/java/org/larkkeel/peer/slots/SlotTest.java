/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.slots;

import static org.larkkeel.peer.slots.SlotSim.MILLI;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.peer.membership.NodeId;
import org.larkkeel.peer.slots.SlotSim.Node;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link SlotOwner} and {@link SlotHolder} in virtual time. */
public class SlotTest {
  private static final int CAPACITY = 20;

  /** Tests that slots are never overbooked and leases end, with short and with long leases. */
  public static class Safety {
    /** Settings for a few and for many nodes, with the number of nodes. */
    @DataProvider
    public Object[][] settings() {
      return new Object[][] {{SlotSettings.perRequest(), 8}, {SlotSettings.followingDemand(), 64}};
    }

    /** The sum of slots that holders have must never exceed the owner's count or the capacity. */
    @Test(dataProvider = "settings")
    public void neverOverbooksUnderLossAndDuplication(SlotSettings settings, int nodes) {
      SlotSim sim = new SlotSim(settings, nodes, 1, CAPACITY, 7);
      sim.lossProbability = 0.1;
      sim.duplicationProbability = 0.2;
      Random random = new Random(7);
      AtomicLong requests = new AtomicLong();
      sim.run(
          20_000 * MILLI,
          5,
          () -> {
            if (random.nextDouble() < 0.4) {
              Node node = sim.nodes.get(random.nextInt(nodes));
              node.acquire(requests.incrementAndGet(), random.nextInt(3), 2_000 * MILLI);
            }
            assertTrue(sim.held() <= CAPACITY, "held: " + sim.held());
            assertTrue(
                sim.held() <= sim.owners.get(0).leased(), "the owner counts too few leased slots");
          });
      int served = sim.nodes.stream().mapToInt(node -> node.acquired).sum();
      assertTrue(served > 3_000, "served: " + served + " of " + requests);
    }

    @Test
    public void leasesOfDeadNodeAreFreed() {
      SlotSim sim = new SlotSim(SlotSettings.followingDemand(), 2, 1, CAPACITY, 3);
      for (int i = 0; i < CAPACITY; i++) {
        sim.nodes.get(0).acquire(i, 0, 5_000 * MILLI);
      }
      sim.run(700 * MILLI, 5, () -> {});
      assertEquals(sim.owners.get(0).leased(), CAPACITY);
      Node dead = sim.nodes.get(0);
      dead.dead = true;
      sim.owners.get(0).on(new SlotEvent.HolderDead(sim.now, dead.id));
      assertEquals(sim.owners.get(0).leased(), 0);
    }

    @Test
    public void unresponsiveHolderExpires() {
      SlotSim sim = new SlotSim(SlotSettings.perRequest(), 1, 1, CAPACITY, 4);
      sim.nodes.get(0).acquire(1, 0, 5_000 * MILLI);
      sim.run(220 * MILLI, 5, () -> {});
      assertEquals(sim.owners.get(0).leased(), 1);
      sim.nodes.get(0).dead = true;
      sim.run(6_000 * MILLI, 5, () -> {});
      assertEquals(sim.owners.get(0).leased(), 0);
    }

    @Test
    public void newOwnerCountsRunningRequestsBeforeItKnowsTheirLeases() {
      SlotOwner owner = new SlotOwner("u1", SlotSettings.perRequest(), 0);
      long later = SlotSettings.perRequest().takeoverDelayNanos();
      owner.on(new SlotEvent.Capacity(later, CAPACITY, 18));
      assertEquals(owner.free(), 2);
      NodeId holder = new NodeId(new HostName("host-1"), new Incarnation(1));
      SlotReport report = new SlotReport("u1", 2, 9, 0, 5, List.of());
      owner.on(new SlotEvent.Reported(later, holder, report));
      assertEquals(owner.leased(), 5);
      assertEquals(owner.free(), 2);
    }
  }

  /** Tests of the order in which free slots are granted. */
  public static class Order {
    @Test
    public void priorityGoesFirstThenArrival() {
      SlotOwner owner = new SlotOwner("u1", SlotSettings.perRequest(), 0);
      long now = SlotSettings.perRequest().takeoverDelayNanos();
      List<String> granted = new ArrayList<>();
      int[] priorities = {0, 0, 5, 0, 5};
      for (int i = 0; i < priorities.length; i++) {
        NodeId holder = new NodeId(new HostName("host-" + i), new Incarnation(1));
        List<SlotReport.Wait> waits = List.of(new SlotReport.Wait(priorities[i], 1));
        owner.on(new SlotEvent.Reported(now, holder, new SlotReport("u1", 1, 1, 0, 0, waits)));
      }
      for (int slots = 1; slots <= priorities.length; slots++) {
        for (SlotOwner.AddressedGrant answer : owner.on(new SlotEvent.Capacity(now, slots, 0))) {
          if (answer.grant().added() > 0) {
            granted.add(answer.holder().host().value());
          }
        }
      }
      assertEquals(granted, List.of("host-2", "host-4", "host-0", "host-1", "host-3"));
    }

    @Test
    public void priorityHoldsAcrossNodes() {
      SlotSim sim = new SlotSim(SlotSettings.perRequest(), 2, 1, CAPACITY, 8);
      AtomicLong requests = new AtomicLong();
      Runnable flood = () -> sim.nodes.get(0).acquire(requests.incrementAndGet(), 0, 1_000 * MILLI);
      sim.run(1_000 * MILLI, 5, flood);
      for (int i = 0; i < 10; i++) {
        sim.nodes.get(1).acquire(i, 5, 300 * MILLI);
      }
      sim.run(300 * MILLI, 5, flood);
      assertEquals(sim.nodes.get(1).acquired, 10);
    }

    @Test
    public void idleSlotsAreRecalledForWaitingNodes() {
      SlotSim sim = new SlotSim(SlotSettings.followingDemand(), 2, 1, CAPACITY, 5);
      for (int i = 0; i < CAPACITY; i++) {
        sim.nodes.get(0).acquire(i, 0, 5_000 * MILLI);
      }
      sim.run(900 * MILLI, 5, () -> {});
      assertEquals(sim.nodes.get(0).holder.held(), CAPACITY);
      sim.nodes.get(1).acquire(100, 0, 400 * MILLI);
      sim.run(390 * MILLI, 5, () -> {});
      assertEquals(sim.nodes.get(1).acquired, 1);
    }
  }

  /** Tests of the number of messages, and of overbooking while nodes disagree on the owner. */
  public static class Bounds {
    @Test
    public void messagesDoNotGrowWithRequests() {
      long few = messagesFor(1);
      long many = messagesFor(10);
      assertTrue(many < 2 * few, few + " messages, with ten times the requests " + many);
    }

    private static long messagesFor(int perStep) {
      SlotSim sim = new SlotSim(SlotSettings.followingDemand(), 4, 1, 10_000, 6);
      AtomicLong requests = new AtomicLong();
      sim.run(
          5_000 * MILLI,
          50,
          () -> {
            for (int i = 0; i < perStep; i++) {
              long request = requests.incrementAndGet();
              sim.nodes.get((int) (request % 4)).acquire(request, 0, 1_000 * MILLI);
            }
          });
      return sim.messages;
    }

    @Test
    public void overbookingEndsOnceNodesAgree() {
      SlotSim sim = new SlotSim(SlotSettings.perRequest(), 8, 2, CAPACITY, 9);
      AtomicLong requests = new AtomicLong();
      AtomicInteger worst = new AtomicInteger();
      Runnable load =
          () -> {
            Node node = sim.nodes.get((int) (requests.get() % 8));
            node.acquire(requests.incrementAndGet(), 0, 500 * MILLI);
            worst.accumulateAndGet(sim.inUse(), Math::max);
          };
      sim.run(1_000 * MILLI, 5, load);
      assertTrue(worst.get() <= CAPACITY, "one owner overbooked: " + worst);
      for (int i = 0; i < 4; i++) {
        sim.nodes.get(i).setOwner(1);
      }
      sim.run(500 * MILLI, 5, load);
      assertTrue(
          worst.get() <= 2 * CAPACITY,
          "two owners granted more than the capacity of each: " + worst);
      for (Node node : sim.nodes) {
        node.setOwner(1);
      }
      sim.run(1_000 * MILLI, 5, load);
      worst.set(0);
      sim.run(1_000 * MILLI, 5, load);
      assertTrue(
          worst.get() <= CAPACITY, "overbooked after all nodes agree on the owner: " + worst);
    }
  }
}
