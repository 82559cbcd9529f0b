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

  /** Controllers that are paused or compete for the lease. */
  public static class Fencing {

    @Test
    public void pausedHolderSendsNoOrderAfterItsLeaseExpired() {
      OrderRig rig = new OrderRig();
      final OrderRig.Engine e = rig.engine("u", FencingSupport.IGNORED, Role.PREFILL, "m");
      rig.declare("u", DECODE, "m");
      OrderRig.Node a = rig.node("a");
      a.connectTime = Duration.ofMillis(500);
      rig.time.runUntil(() -> a.orderCount == 1, LONG);
      a.process.pause();
      rig.node("b");
      rig.advance(30);
      a.process.resume();
      rig.advance(5);
      assertEquals(a.results, List.of(OrderResult.NOT_SENT));
      assertEquals(e.accepted, List.of());
      rig.time.runUntil(() -> !e.accepted.isEmpty(), LONG);
      assertEquals(e.accepted, List.of(2L));
    }

    @Test
    public void staleOrderInTransitIsRefusedByCheckingEngine() {
      OrderRig rig = new OrderRig();
      final OrderRig.Engine e = rig.engine("u", FencingSupport.CHECKED, Role.PREFILL, "m");
      rig.declare("u", DECODE, "m");
      OrderRig.Node a = rig.node("a");
      rig.transmissionTime = () -> Duration.ofSeconds(40);
      rig.time.runUntil(() -> a.orderCount == 1, LONG);
      rig.time.advance(Duration.ofMillis(10));
      a.process.pause();
      rig.transmissionTime = () -> Duration.ofMillis(1);
      rig.node("b");
      rig.time.runUntil(() -> !e.refused.isEmpty(), LONG);
      assertEquals(e.refused, List.of(1L));
      assertEquals(e.accepted, List.of(2L));
    }

    @Test
    public void engineIgnoringFencingGetsNoOrderBeforeOldOnesHaveArrived() {
      OrderRig rig = new OrderRig();
      final OrderRig.Engine e = rig.engine("u", FencingSupport.IGNORED, Role.PREFILL, "m");
      rig.declare("u", DECODE, "m");
      long startNanos = rig.time.now();
      rig.node("a");
      rig.time.runUntil(() -> !e.accepted.isEmpty(), LONG);
      Duration waited = Duration.ofNanos(rig.time.now() - startNanos);
      OrderLimits limits = OrderLimits.DEFAULT;
      Duration minWait = limits.leaseDuration().plus(limits.maxPause());
      assertTrue(waited.compareTo(minWait) >= 0, "waited " + waited);
    }

    @Test
    public void lostAnswerToLeaseWriteLeavesOneHolder() {
      OrderRig rig = new OrderRig();
      final OrderRig.Engine e = rig.engine("u", FencingSupport.CHECKED, Role.PREFILL, "m");
      rig.declare("u", DECODE, "m");
      OrderRig.Node a = rig.node("a");
      int[] writes = {0};
      a.api.setWriteFaults(() -> writes[0]++ == 0 ? Fault.LOSE_ANSWER : Fault.NONE);
      rig.advance(1);
      final OrderRig.Node b = rig.node("b");
      rig.time.runUntil(() -> !e.accepted.isEmpty(), LONG);
      assertTrue(writes[0] > 0);
      assertEquals(e.accepted, List.of(1L));
      assertEquals(b.orderCount, 0);
    }

    @Test
    public void closedControllerReleasesTheLease() {
      OrderRig rig = new OrderRig();
      OrderRig.Node a = rig.node("a");
      rig.advance(20);
      final OrderRig.Node b = rig.node("b");
      rig.advance(4);
      assertTrue(a.lease.term().isPresent());
      a.controller.close();
      rig.advance(3);
      assertTrue(a.lease.term().isEmpty());
      assertEquals(b.lease.term().orElseThrow().fencing().value(), 2);
    }
  }

  /** Models that must stay served while engines change. */
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
    public void lateOrderOfEarlierHolderLeavesAnEngine() {
      LateOrder l = new LateOrder();
      l.rig.node("b");
      l.first.process.pause();
      l.finish();
    }

    @Test
    public void lateOrderOfLostConnectionLeavesAnEngine() {
      LateOrder l = new LateOrder();
      l.finish();
    }

    /**
     * An order that removes a role arrives late, and the only other engine with that role is
     * declared to change before it arrives.
     */
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
        rig.transmissionTime = () -> Duration.ofSeconds(40);
        rig.time.runUntil(() -> first.orderCount == 1, LONG);
        rig.time.advance(Duration.ofMillis(10));
        rig.transmissionTime = () -> Duration.ofMillis(1);
        rig.declare("u", DECODE, "m");
        rig.declare("w", PREFILL, "m");
      }

      void finish() {
        rig.checks.add(
            () ->
                assertTrue(
                    rig.engines.values().stream().anyMatch(e -> e.serves("m", Role.DECODE)),
                    "no engine serves the model for decode"));
        rig.time.runUntil(() -> rig.engines.get("w").serves("m", Role.PREFILL), LONG);
        assertEquals(rig.engines.get("u").accepted.size(), 2);
        assertTrue(rig.engines.get("u").serves("m", Role.DECODE));
      }
    }

    @Test
    public void throttledPullsWaitForRetryAfter() {
      OrderRig rig = new OrderRig();
      for (int i = 0; i < 6; i++) {
        rig.engine("u" + i, FencingSupport.CHECKED, Role.DECODE);
        rig.declare("u" + i, DECODE, "m");
      }
      long[] freeAtNanos = {rig.time.now()};
      int[] earlyPulls = {0};
      rig.weights =
          () -> {
            earlyPulls[0] += rig.time.now() < freeAtNanos[0] ? 1 : 0;
            freeAtNanos[0] = rig.time.now() + Duration.ofSeconds(7).toNanos();
            return rig.pulls % 2 == 0
                ? new PullResult.Started(Duration.ofSeconds(7))
                : new PullResult.Throttled(Duration.ofSeconds(7));
          };
      rig.node("a");
      rig.time.runUntil(
          () -> rig.engines.values().stream().allMatch(e -> e.serves("m", Role.DECODE)), LONG);
      assertTrue(rig.pulls >= 12, "pulls " + rig.pulls);
      assertTrue(earlyPulls[0] <= 6, "pulls requested too early " + earlyPulls[0]);
    }
  }

  /** Random pauses, lost answers, late orders and changes. */
  public static class Generated {

    @Test
    public void fencingNumbersNeverDecreaseAndTheLastServerStays() {
      int orders = 0;
      for (int seed = 1; seed <= 30; seed++) {
        orders += runRandomFaults(seed);
      }
      assertTrue(orders > 300, "orders accepted " + orders);
    }

    private static int runRandomFaults(int seed) {
      Random random = new Random(seed);
      OrderRig rig = new OrderRig();
      for (int i = 0; i < 4; i++) {
        FencingSupport f = i % 2 == 0 ? FencingSupport.CHECKED : FencingSupport.IGNORED;
        rig.engine("u" + i, f, i < 2 ? Role.PREFILL : Role.DECODE, "m");
      }
      rig.checks.add(() -> check(rig, seed));
      rig.transmissionTime =
          () -> Duration.ofMillis(random.nextInt(10) == 0 ? random.nextInt(20_000) : 1);
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
      return rig.engines.values().stream().mapToInt(e -> e.accepted.size()).sum();
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
            "seed " + seed + ": no engine serves the model for " + role);
      }
      for (OrderRig.Engine e : rig.engines.values()) {
        List<Long> sorted = e.accepted.stream().sorted().toList();
        assertFalse(
            !e.accepted.equals(sorted),
            "seed " + seed + ": fencing numbers decreased: " + e.accepted);
      }
    }
  }
}
