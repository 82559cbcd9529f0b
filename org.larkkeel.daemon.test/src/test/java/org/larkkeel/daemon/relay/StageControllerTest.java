/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.larkkeel.daemon.VirtualTime;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.relay.RelayUpstream;
import org.larkkeel.relay.ServiceName;
import org.larkkeel.relay.Stage;
import org.larkkeel.store.ListQuery;
import org.larkkeel.store.ObjectApi;
import org.larkkeel.store.ObjectApiException;
import org.larkkeel.store.ObjectApiFailure;
import org.larkkeel.store.ObjectKey;
import org.larkkeel.store.ObjectPage;
import org.larkkeel.store.StoreVersion;
import org.larkkeel.store.StoredObject;
import org.larkkeel.store.Watch;
import org.larkkeel.store.WatchEvent;
import org.testng.annotations.Test;

/** Tests of the orders to engines of a surplus stage. */
public class StageControllerTest {
  private static final double SHARE = 0.3;

  /** An in-memory store of the leases, with conditional updates. */
  private static final class Leases implements ObjectApi {
    private final Map<ObjectKey, StoredObject> objects = new HashMap<>();
    private StoreVersion version = StoreVersion.NONE;
    private int calls;
    private boolean down;

    private <T> CompletableFuture<T> answer(ObjectApiFailure failure) {
      return CompletableFuture.failedFuture(new ObjectApiException(failure, "test"));
    }

    @Override
    public CompletableFuture<StoredObject> get(ObjectKey key) {
      calls++;
      if (down) {
        return answer(new ObjectApiFailure.Unavailable());
      }
      StoredObject found = objects.get(key);
      return found == null
          ? answer(new ObjectApiFailure.NotFound())
          : CompletableFuture.completedFuture(found);
    }

    @Override
    public CompletableFuture<StoredObject> create(ObjectKey key, String kind, JsonNode spec) {
      calls++;
      if (down) {
        return answer(new ObjectApiFailure.Unavailable());
      }
      return objects.containsKey(key)
          ? answer(new ObjectApiFailure.AlreadyExists())
          : CompletableFuture.completedFuture(put(key, kind, spec));
    }

    private StoredObject put(ObjectKey key, String kind, JsonNode spec) {
      version = version.next();
      StoredObject made = new StoredObject(key, kind, version, spec);
      objects.put(key, made);
      return made;
    }

    @Override
    public CompletableFuture<StoredObject> update(
        ObjectKey key, String kind, JsonNode spec, StoreVersion resourceVersion) {
      calls++;
      if (down) {
        return answer(new ObjectApiFailure.Unavailable());
      }
      return objects.get(key).resourceVersion().equals(resourceVersion)
          ? CompletableFuture.completedFuture(put(key, kind, spec))
          : answer(new ObjectApiFailure.Conflict());
    }

    @Override
    public CompletableFuture<ObjectPage> list(ListQuery query) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<Void> delete(ObjectKey key, StoreVersion resourceVersion) {
      throw new UnsupportedOperationException();
    }

    @Override
    public Watch watch(
        String collection,
        StoreVersion resourceVersion,
        Duration timeout,
        Consumer<WatchEvent> listener) {
      throw new UnsupportedOperationException();
    }
  }

  /** Controllers on several nodes that see the same engines. */
  private static final class Fixture {
    private final Map<String, VirtualTime> times = new HashMap<>();
    private final Leases leases = new Leases();
    private final List<String> orders = new ArrayList<>();
    private final List<StageController> nodes = new ArrayList<>();

    /** The nodes that reach no engine. */
    private final Set<String> lost = new HashSet<>();

    private ImmutableSet<UpstreamName> previousNames = ImmutableSet.of();
    private BooleanSupplier lastAllowed;
    private long incarnation;

    /** Records the orders of a node. */
    private final class NodeOrders implements StageController.Orders {
      private final String name;

      NodeOrders(String name) {
        this.name = name;
      }

      @Override
      public CompletableFuture<Integer> send(
          RelayUpstream u, Stage stage, String holder, long fencing, BooleanSupplier allowed) {
        assertTrue(allowed.getAsBoolean());
        lastAllowed = allowed;
        orders.add(u.name() + " " + stage + " " + holder + " " + fencing);
        return CompletableFuture.completedFuture(202);
      }

      @Override
      public boolean reaches(UpstreamIncarnation upstream) {
        return !lost.contains(name);
      }
    }

    void node(String name, int rank) {
      StageController node =
          new StageController(
              SHARE,
              new HostName(name),
              leases,
              times.computeIfAbsent(name, n -> new VirtualTime()),
              new NodeOrders(name),
              () -> rank);
      nodes.add(node);
      node.start();
    }

    void engines(int prefill, int decode) {
      Map<UpstreamName, RelayUpstream> all = new LinkedHashMap<>();
      for (int i = 0; i < prefill + decode; i++) {
        Stage stage = i < prefill ? Stage.PREFILL : Stage.DECODE;
        UpstreamName name = new UpstreamName("i-" + i);
        all.put(
            name,
            new RelayUpstream(
                new UpstreamIncarnation(name, new Incarnation(incarnation)),
                new ServiceName("model"),
                "10.0.0.1:80",
                new DataCentreName("dc-1"),
                64,
                stage,
                false));
      }
      ImmutableSet<UpstreamName> removed =
          Sets.difference(previousNames, all.keySet()).immutableCopy();
      previousNames = ImmutableSet.copyOf(all.keySet());
      nodes.forEach(n -> n.upstreams(ImmutableMap.copyOf(all), removed));
    }

    void pass(int seconds) {
      for (int i = 0; i < 10 * seconds; i++) {
        times.values().forEach(t -> t.advance(Duration.ofMillis(100)));
      }
    }
  }

  /** A cluster with too many prefill engines. */
  public static class TooMany {
    @Test
    public void areOrderedOnceByOneNode() {
      Fixture w = new Fixture();
      w.node("a", 0);
      w.node("b", 1);
      w.engines(3, 3);
      w.pass(9);
      assertEquals(w.orders, List.of("i-0 DECODE a 1"));
    }

    @Test
    public void areNotOrderedAgainBeforeTheOrderSettles() {
      Fixture w = new Fixture();
      w.node("a", 0);
      w.engines(4, 2);
      w.pass(12);
      assertEquals(w.orders.size(), 1);
      w.pass(12);
      assertEquals(w.orders, List.of("i-0 DECODE a 1", "i-1 DECODE a 1"));
    }

    @Test
    public void areOrderedByAnotherNodeWithHigherFencingNumberAfterTheHolderEnds() {
      Fixture w = new Fixture();
      w.node("a", 0);
      w.engines(3, 3);
      w.pass(4);
      w.times.remove("a");
      w.nodes.clear();
      w.node("b", 0);
      w.engines(3, 3);
      w.pass(4);
      assertEquals(w.orders.size(), 1, "the lease of the first holder must expire before");
      w.pass(20);
      assertEquals(w.orders.getLast().split(" ")[2], "b");
      assertEquals(w.orders.getLast().split(" ")[3], "2");
    }

    /** A node whose orders reach no engine must not keep others from giving them. */
    @Test
    public void areOrderedByAnotherNodeIfTheFirstReachesNone() {
      Fixture w = new Fixture();
      w.lost.add("a");
      w.node("a", 0);
      w.node("b", 1);
      w.engines(3, 3);
      w.pass(9);
      assertEquals(w.orders, List.of("i-0 DECODE b 1"));
    }

    @Test
    public void areNotOrderedWithoutTheLease() {
      Fixture w = new Fixture();
      w.leases.down = true;
      w.node("a", 0);
      w.engines(3, 3);
      w.pass(30);
      assertEquals(w.orders, List.of());
    }
  }

  /** Engines that restart. */
  public static class Restarted {
    @Test
    public void mayBeOrderedAlthoughThePreviousIncarnationWas() {
      Fixture w = new Fixture();
      w.node("a", 0);
      w.engines(3, 3);
      w.pass(9);
      w.incarnation = 1;
      w.engines(3, 3);
      w.pass(10);
      assertEquals(w.orders, List.of("i-0 DECODE a 1", "i-0 DECODE a 1"));
    }

    @Test
    public void areNotSentAnOrderForThePreviousIncarnation() {
      Fixture w = new Fixture();
      w.node("a", 0);
      w.engines(3, 3);
      w.pass(4);
      assertTrue(w.lastAllowed.getAsBoolean());
      w.incarnation = 1;
      w.engines(3, 3);
      assertFalse(w.lastAllowed.getAsBoolean());
    }

    @Test
    public void areNotOrderedBeforeThePreviousOrderSettles() {
      Fixture w = new Fixture();
      w.node("a", 0);
      w.engines(3, 3);
      w.pass(4);
      w.incarnation = 1;
      w.engines(3, 3);
      w.pass(8);
      assertEquals(w.orders.size(), 1, "the first order may still arrive");
    }
  }

  /** A cluster with too few prefill engines. */
  public static class TooFew {
    @Test
    public void convertsOneDecodeEngine() {
      Fixture w = new Fixture();
      w.node("a", 0);
      w.engines(1, 5);
      w.pass(9);
      assertEquals(w.orders, List.of("i-5 PREFILL a 1"));
    }

    @Test
    public void getsNoOrderWhileAnEngineIsMissingForSeconds() {
      Fixture w = new Fixture();
      w.node("a", 0);
      w.engines(2, 4);
      w.pass(2);
      w.engines(1, 5);
      w.pass(4);
      w.engines(2, 4);
      w.pass(60);
      assertEquals(w.orders, List.of());
      assertEquals(w.leases.calls, 0);
    }

    @Test
    public void keepsTwoDecodeEngines() {
      Fixture w = new Fixture();
      w.node("a", 0);
      w.engines(0, 2);
      w.pass(60);
      assertEquals(w.orders, List.of());
    }
  }

  /** A cluster whose share of prefill engines is on target. */
  public static class Balanced {
    @Test
    public void makesNoCalls() {
      Fixture w = new Fixture();
      w.node("a", 0);
      w.engines(2, 4);
      w.pass(600);
      assertEquals(w.leases.calls, 0);
      assertEquals(w.orders, List.of());
    }

    @Test
    public void makesNoCallsAfterTheOrderSettled() {
      Fixture w = new Fixture();
      w.node("a", 0);
      w.engines(3, 3);
      w.pass(8);
      w.engines(2, 4);
      w.pass(20);
      int calls = w.leases.calls;
      w.pass(600);
      assertEquals(w.leases.calls, calls);
    }
  }
}
