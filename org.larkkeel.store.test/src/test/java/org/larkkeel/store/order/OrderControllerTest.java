/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.order;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.larkkeel.config.FencingSupport;
import org.larkkeel.config.Role;
import org.larkkeel.store.Fault;
import org.testng.annotations.Test;

/** Tests of {@link OrderController}. */
public class OrderControllerTest {
  private static final Map<String, String> DECODE = Map.of("role", "decode");
  private static final Map<String, String> PREFILL = Map.of("role", "prefill");
  private static final Duration LONG = Duration.ofMinutes(10);

  /** Controllers that are paused or race each other. */
  public static class Fencing {

    @Test
    public void orderOfPausedHolderIsNotSentAfterItsLease() {
      OrderRig rig = new OrderRig();
      final OrderRig.Engine e = rig.engine("u", FencingSupport.IGNORED, Role.PREFILL, "m");
      rig.declare("u", DECODE, "m");
      OrderRig.Node a = rig.node("a");
      a.connect = Duration.ofMillis(500);
      rig.time.until(() -> a.planned == 1, LONG);
      a.process.pause();
      rig.node("b");
      rig.advance(30);
      a.process.resume();
      rig.advance(5);
      assertEquals(a.results, List.of(OrderResult.NOT_SENT));
      assertEquals(e.taken, List.of());
      rig.time.until(() -> !e.taken.isEmpty(), LONG);
      assertEquals(e.taken, List.of(2L));
    }

    @Test
    public void orderOnItsWayIsRefusedByCheckingEngine() {
      OrderRig rig = new OrderRig();
      final OrderRig.Engine e = rig.engine("u", FencingSupport.CHECKED, Role.PREFILL, "m");
      rig.declare("u", DECODE, "m");
      OrderRig.Node a = rig.node("a");
      rig.travel = () -> Duration.ofSeconds(40);
      rig.time.until(() -> a.planned == 1, LONG);
      rig.time.advance(Duration.ofMillis(10));
      a.process.pause();
      rig.travel = () -> Duration.ofMillis(1);
      rig.node("b");
      rig.time.until(() -> !e.refused.isEmpty(), LONG);
      assertEquals(e.refused, List.of(1L));
      assertEquals(e.taken, List.of(2L));
    }

    @Test
    public void engineThatIgnoresNumbersWaitsForOldOrders() {
      OrderRig rig = new OrderRig();
      final OrderRig.Engine e = rig.engine("u", FencingSupport.IGNORED, Role.PREFILL, "m");
      rig.declare("u", DECODE, "m");
      long begin = rig.time.now();
      rig.node("a");
      rig.time.until(() -> !e.taken.isEmpty(), LONG);
      Duration waited = Duration.ofNanos(rig.time.now() - begin);
      OrderLimits limits = OrderLimits.DEFAULT;
      Duration least = limits.leaseDuration().plus(limits.longestPause());
      assertTrue(waited.compareTo(least) >= 0, "waited " + waited);
    }

    @Test
    public void lostAnswerToTheLeaseLeavesOneHolder() {
      OrderRig rig = new OrderRig();
      final OrderRig.Engine e = rig.engine("u", FencingSupport.CHECKED, Role.PREFILL, "m");
      rig.declare("u", DECODE, "m");
      OrderRig.Node a = rig.node("a");
      int[] writes = {0};
      a.api.setWriteFaults(() -> writes[0]++ == 0 ? Fault.LOSE_ANSWER : Fault.NONE);
      rig.advance(1);
      final OrderRig.Node b = rig.node("b");
      rig.time.until(() -> !e.taken.isEmpty(), LONG);
      assertTrue(writes[0] > 0);
      assertEquals(e.taken, List.of(1L));
      assertEquals(b.planned, 0);
    }

    @Test
    public void closedControllerHandsTheLeaseOver() {
      OrderRig rig = new OrderRig();
      OrderRig.Node a = rig.node("a");
      rig.advance(20);
      final OrderRig.Node b = rig.node("b");
      rig.advance(4);
      assertTrue(a.lease.tenure().isPresent());
      a.controller.close();
      rig.advance(3);
      assertTrue(a.lease.tenure().isEmpty());
      assertEquals(b.lease.tenure().orElseThrow().fencing().value(), 2);
    }
  }

  /** What is served meanwhile. */
  public static class Serving {

    @Test
    public void lastUpstreamOfModelKeepsItsVersionUntilAnotherServesIt() {
      OrderRig rig = new OrderRig();
      final OrderRig.Engine u = rig.engine("u", FencingSupport.CHECKED, Role.DECODE, "m");
      Map<String, String> second = Map.of("role", "decode", "version", "v2", "adapter", "fair");
      rig.declare("u", second, "m");
      rig.node("a");
      rig.advance(300);
      assertEquals(u.shape.versions(), Map.of());
      assertEquals(u.shape.adapters().asList(), List.of(new AdapterName("fair")));
      OrderRig.Engine w = rig.engine("w", FencingSupport.CHECKED, Role.DECODE, "m");
      rig.declare("w", second, "m");
      rig.advance(300);
      for (OrderRig.Engine e : List.of(u, w)) {
        assertEquals(e.shape.versions().values().asList(), List.of("v2"));
      }
    }

    @Test
    public void lateOrderOfEarlierHolderIsReckonedWith() {
      LateOrder l = new LateOrder();
      l.rig.node("b");
      l.first.process.pause();
      l.finish();
    }

    @Test
    public void lateOrderOfLostConnectionIsReckonedWith() {
      LateOrder l = new LateOrder();
      l.finish();
    }

    /** An order that takes a role away is late, and meanwhile the other engine is to change. */
    private static final class LateOrder {
      final OrderRig rig = new OrderRig();
      final OrderRig.Node first = rig.node("a");

      LateOrder() {
        rig.engine("u", FencingSupport.CHECKED, Role.DECODE, "m");
        rig.engine("w", FencingSupport.CHECKED, Role.DECODE, "m");
        rig.engine("x", FencingSupport.CHECKED, Role.PREFILL, "m");
        rig.declare("u", PREFILL, "m");
        rig.declare("w", DECODE, "m");
        rig.declare("x", PREFILL, "m");
        first.losesConnections = true;
        rig.travel = () -> Duration.ofSeconds(40);
        rig.time.until(() -> first.planned == 1, LONG);
        rig.time.advance(Duration.ofMillis(10));
        rig.travel = () -> Duration.ofMillis(1);
        rig.declare("u", DECODE, "m");
        rig.declare("w", PREFILL, "m");
      }

      void finish() {
        rig.checks.add(
            () ->
                assertTrue(
                    rig.engines.values().stream().anyMatch(e -> e.serves("m", Role.DECODE)),
                    "no engine is left"));
        rig.time.until(() -> rig.engines.get("w").serves("m", Role.PREFILL), LONG);
        assertEquals(rig.engines.get("u").taken.size(), 2);
        assertTrue(rig.engines.get("u").serves("m", Role.DECODE));
      }
    }

    @Test
    public void saturatedWeightStoreIsAskedAtItsPace() {
      OrderRig rig = new OrderRig();
      for (int i = 0; i < 6; i++) {
        rig.engine("u" + i, FencingSupport.CHECKED, Role.DECODE);
        rig.declare("u" + i, DECODE, "m");
      }
      long[] free = {rig.time.now()};
      int[] early = {0};
      rig.weights =
          () -> {
            early[0] += rig.time.now() < free[0] ? 1 : 0;
            free[0] = rig.time.now() + Duration.ofSeconds(7).toNanos();
            return rig.pulls % 2 == 0
                ? new PullResult.Started(Duration.ofSeconds(7))
                : new PullResult.Throttled(Duration.ofSeconds(7));
          };
      rig.node("a");
      rig.time.until(
          () -> rig.engines.values().stream().allMatch(e -> e.serves("m", Role.DECODE)), LONG);
      assertTrue(rig.pulls >= 12, "pulls " + rig.pulls);
      assertTrue(early[0] <= 6, "asked too early " + early[0]);
    }
  }

  /** Generated pauses, lost answers, late orders and changes. */
  public static class Generated {

    @Test
    public void numbersNeverFallAndTheLastServerStays() {
      int orders = 0;
      for (int seed = 1; seed <= 30; seed++) {
        orders += hammer(seed);
      }
      assertTrue(orders > 300, "orders taken " + orders);
    }

    private static int hammer(int seed) {
      Random random = new Random(seed);
      OrderRig rig = new OrderRig();
      for (int i = 0; i < 4; i++) {
        FencingSupport f = i % 2 == 0 ? FencingSupport.CHECKED : FencingSupport.IGNORED;
        rig.engine("u" + i, f, i < 2 ? Role.PREFILL : Role.DECODE, "m");
      }
      rig.checks.add(() -> check(rig, seed));
      rig.travel = () -> Duration.ofMillis(random.nextInt(10) == 0 ? random.nextInt(20_000) : 1);
      List<OrderRig.Node> nodes = new ArrayList<>();
      for (String host : List.of("a", "b", "c")) {
        OrderRig.Node n = rig.node(host);
        n.api.setWriteFaults(() -> fault(random));
        nodes.add(n);
      }
      for (int round = 0; round < 60; round++) {
        redeclare(rig, random);
        OrderRig.Node n = nodes.get(random.nextInt(3));
        rig.time.advance(Duration.ofMillis(random.nextInt(60_000)));
        n.process.pause();
        rig.time.advance(Duration.ofMillis(random.nextInt(35_000)));
        n.process.resume();
        rig.time.advance(Duration.ofMillis(random.nextInt(60_000)));
      }
      return rig.engines.values().stream().mapToInt(e -> e.taken.size()).sum();
    }

    private static void redeclare(OrderRig rig, Random random) {
      List<String> names = new ArrayList<>(rig.engines.keySet());
      Collections.shuffle(names, random);
      for (int i = 0; i < names.size(); i++) {
        boolean prefill = i == 0 || (i > 1 && random.nextBoolean());
        rig.declare(names.get(i), prefill ? PREFILL : DECODE, "m");
      }
    }

    private static Fault fault(Random random) {
      return random.nextInt(4) == 0
          ? Fault.values()[random.nextInt(Fault.values().length)]
          : Fault.NONE;
    }

    private static void check(OrderRig rig, int seed) {
      for (Role role : List.of(Role.PREFILL, Role.DECODE)) {
        assertTrue(
            rig.engines.values().stream().anyMatch(e -> e.serves("m", role)),
            "seed " + seed + ": no engine is left for " + role);
      }
      for (OrderRig.Engine e : rig.engines.values()) {
        List<Long> sorted = e.taken.stream().sorted().toList();
        assertFalse(!e.taken.equals(sorted), "seed " + seed + ": numbers fell: " + e.taken);
      }
    }
  }
}
