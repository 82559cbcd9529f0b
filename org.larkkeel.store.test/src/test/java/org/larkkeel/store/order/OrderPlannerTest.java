/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.order;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.larkkeel.config.FencingSupport;
import org.larkkeel.config.Role;
import org.larkkeel.lib.FencingNumber;
import org.larkkeel.lib.ModelName;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.store.lease.LeaseTerm;
import org.testng.annotations.Test;

/** Tests of {@link OrderPlanner}. */
public class OrderPlannerTest {
  private static final ModelName A = new ModelName("model-a");
  private static final ModelName B = new ModelName("model-b");
  private static final FencingNumber FENCING = new FencingNumber(5);
  private static final long EARLIER_ORDERS_SETTLED_NANOS =
      OrderLimits.DEFAULT.leaseDuration().plus(OrderLimits.DEFAULT.maxPause()).toNanos();

  private static ModelVersion weights(ModelName model) {
    return new ModelVersion(model, ModelVersion.ANY);
  }

  private static EngineShape shape(Role role, ModelName... models) {
    return new EngineShape(role, ImmutableSet.copyOf(models));
  }

  private static EngineView engine(
      String name,
      FencingSupport fencing,
      EngineShape declared,
      EngineShape reported,
      long readAt) {
    return new EngineView(
        new UpstreamName(name),
        fencing,
        Optional.of(declared),
        Optional.of(reported),
        FENCING,
        readAt,
        true,
        false,
        ImmutableSet.of(weights(A), weights(B)));
  }

  private static List<OrderStep> plan(long now, List<EngineView> engines) {
    LeaseTerm t = new LeaseTerm(FENCING, 0, now + Duration.ofSeconds(8).toNanos());
    return new OrderPlanner(OrderLimits.DEFAULT).plan(now, Optional.of(t), engines, 0);
  }

  private static OrderStep send(String name, Order order) {
    return new OrderStep.Send(new UpstreamName(name), FENCING, order);
  }

  /** The lease, and engines that ignore fencing numbers. */
  public static class Fencing {

    @Test
    public void nothingIsOrderedWithoutLeaseOrNearItsEnd() {
      List<EngineView> e =
          List.of(
              engine(
                  "u", FencingSupport.CHECKED, shape(Role.DECODE, A, B), shape(Role.DECODE, A), 0));
      OrderPlanner p = new OrderPlanner(OrderLimits.DEFAULT);
      assertEquals(p.plan(0, Optional.empty(), e, 0), List.of());
      LeaseTerm endingTerm = new LeaseTerm(FENCING, 0, Duration.ofSeconds(1).toNanos());
      assertEquals(p.plan(0, Optional.of(endingTerm), e, 0), List.of());
      assertEquals(plan(0, e), List.of(send("u", new Order.LoadModel(B))));
    }

    @Test
    public void engineIgnoringFencingWaitsAndIsReadFirst() {
      EngineShape declared = shape(Role.DECODE, A, B);
      EngineShape reported = shape(Role.DECODE, A);
      EngineView early = engine("u", FencingSupport.IGNORED, declared, reported, 1);
      assertEquals(plan(EARLIER_ORDERS_SETTLED_NANOS - 1, List.of(early)), List.of());
      assertEquals(
          plan(EARLIER_ORDERS_SETTLED_NANOS, List.of(early)),
          List.of(new OrderStep.ReadBack(new UpstreamName("u"))));
      EngineView read =
          engine("u", FencingSupport.IGNORED, declared, reported, EARLIER_ORDERS_SETTLED_NANOS);
      assertEquals(
          plan(EARLIER_ORDERS_SETTLED_NANOS + 1, List.of(read)),
          List.of(send("u", new Order.LoadModel(B))));
    }
  }

  /** Steps from the current to the declared shapes. */
  public static class Reconciling {

    @Test
    public void lastEngineOfModelIsKeptUntilAnotherServesIt() {
      EngineView leaves =
          engine("u1", FencingSupport.CHECKED, shape(Role.DECODE, B), shape(Role.DECODE, A, B), 0);
      EngineView takes =
          engine("u2", FencingSupport.CHECKED, shape(Role.DECODE, A, B), shape(Role.DECODE, B), 0);
      assertEquals(plan(0, List.of(leaves, takes)), List.of(send("u2", new Order.LoadModel(A))));
      EngineView took =
          engine(
              "u2", FencingSupport.CHECKED, shape(Role.DECODE, A, B), shape(Role.DECODE, A, B), 0);
      assertEquals(plan(0, List.of(leaves, took)), List.of(send("u1", new Order.UnloadModel(A))));
    }

    @Test
    public void pullsAreLimitedAndLeastServedModelsGoFirst() {
      List<EngineView> engines = new ArrayList<>();
      for (int i = 0; i < 5; i++) {
        EngineShape declared = i == 4 ? shape(Role.DECODE, B) : shape(Role.DECODE, A);
        engines.add(
            new EngineView(
                new UpstreamName("u" + i),
                FencingSupport.CHECKED,
                Optional.of(declared),
                Optional.of(i == 0 ? shape(Role.DECODE, A) : shape(Role.DECODE)),
                FENCING,
                0,
                true,
                false,
                ImmutableSet.of()));
      }
      assertEquals(
          plan(0, engines),
          List.of(
              new OrderStep.Pull(new UpstreamName("u4"), weights(B)),
              new OrderStep.Pull(new UpstreamName("u1"), weights(A))));
    }
  }

  /** Random shapes. */
  public static class Generated {

    @Test
    public void reachesTheDeclaredShapeAndNeverDropsTheLastServer() {
      for (int seed = 1; seed <= 200; seed++) {
        reconcile(seed);
      }
    }

    private static void reconcile(int seed) {
      Random random = new Random(seed);
      Map<String, EngineShape> current = new HashMap<>();
      Map<String, EngineShape> declared = new HashMap<>();
      for (int i = 0; i < 6; i++) {
        current.put("u" + i, randomShape(random));
        declared.put("u" + i, randomShape(random));
      }
      for (int round = 0; round < 60; round++) {
        List<OrderStep> steps = plan(0, views(current, declared));
        for (OrderStep s : steps) {
          OrderStep.Send send = (OrderStep.Send) s;
          Map<String, EngineShape> before = Map.copyOf(current);
          current.compute(send.upstream().value(), (u, shape) -> apply(shape, send.order()));
          checkServed(seed, before, current, declared);
        }
      }
      long stuck =
          declared.keySet().stream().filter(u -> !current.get(u).equals(declared.get(u))).count();
      assertTrue(
          stuck == 0 || isSwap(current, declared),
          "seed " + seed + ": " + current + " not " + declared);
    }

    /**
     * Returns whether each engine that differs from its declared shape is the last one that serves
     * a declared model in its role. Such a swap cannot be planned without a model that is not
     * served.
     */
    private static boolean isSwap(
        Map<String, EngineShape> current, Map<String, EngineShape> declared) {
      return declared.keySet().stream()
          .filter(u -> !current.get(u).equals(declared.get(u)))
          .allMatch(u -> !isServedElsewhere(current, u, declared));
    }

    private static boolean isServedElsewhere(
        Map<String, EngineShape> current, String u, Map<String, EngineShape> declared) {
      return current.get(u).models().stream()
          .filter(m -> isServed(declared, current.get(u).role(), m))
          .allMatch(
              m ->
                  current.entrySet().stream()
                      .anyMatch(
                          e ->
                              !e.getKey().equals(u)
                                  && has(e.getValue(), current.get(u).role(), m)));
    }

    private static boolean isServed(Map<String, EngineShape> shapes, Role role, ModelName m) {
      return shapes.values().stream().anyMatch(s -> has(s, role, m));
    }

    private static boolean has(EngineShape s, Role role, ModelName m) {
      return s.role() == role && s.models().contains(m);
    }

    private static void checkServed(
        int seed,
        Map<String, EngineShape> before,
        Map<String, EngineShape> after,
        Map<String, EngineShape> declared) {
      for (Role role : List.of(Role.PREFILL, Role.DECODE)) {
        for (ModelName m : List.of(A, B)) {
          boolean had = isServed(before, role, m);
          if (had && isServed(declared, role, m)) {
            assertFalse(
                !isServed(after, role, m),
                "seed " + seed + ": no engine serves " + m + " for " + role);
          }
        }
      }
    }

    private static EngineShape randomShape(Random random) {
      Role role = random.nextBoolean() ? Role.PREFILL : Role.DECODE;
      return switch (random.nextInt(3)) {
        case 0 -> shape(role, A);
        case 1 -> shape(role, B);
        default -> shape(role, A, B);
      };
    }

    private static EngineShape apply(EngineShape s, Order order) {
      ImmutableSet.Builder<ModelName> models = ImmutableSet.builder();
      return switch (order) {
        case Order.LoadModel l ->
            new EngineShape(s.role(), models.addAll(s.models()).add(l.model().model()).build());
        case Order.UnloadModel u -> {
          s.models().stream().filter(m -> !m.equals(u.model())).forEach(models::add);
          yield new EngineShape(s.role(), models.build());
        }
        case Order.LoadAdapter a -> s;
        case Order.SetRole r -> new EngineShape(r.role(), s.models());
      };
    }

    private static ImmutableList<EngineView> views(
        Map<String, EngineShape> current, Map<String, EngineShape> declared) {
      return declared.keySet().stream()
          .sorted()
          .map(u -> engine(u, FencingSupport.CHECKED, declared.get(u), current.get(u), 0))
          .collect(ImmutableList.toImmutableList());
    }
  }
}
