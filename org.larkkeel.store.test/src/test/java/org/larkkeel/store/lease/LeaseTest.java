/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.lease;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.store.Fault;
import org.larkkeel.store.InMemoryObjectApi;
import org.larkkeel.store.InMemoryStore;
import org.larkkeel.store.ManualScheduler;
import org.larkkeel.store.log.WriterId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link Lease}. */
public class LeaseTest {
  private static final Duration DURATION = Duration.ofSeconds(8);

  private static final class Rig {
    final ManualScheduler time = new ManualScheduler();
    final InMemoryStore store = new InMemoryStore(time);
    final List<Node> nodes = new ArrayList<>();

    Node node(String host) {
      Node n = new Node(host);
      nodes.add(n);
      return n;
    }

    List<Long> heldFencingNumbers() {
      return nodes.stream()
          .flatMap(n -> n.lease.term().stream())
          .map(t -> t.fencing().value())
          .toList();
    }

    final class Node {
      final ManualScheduler.Process process = time.newProcess();
      final InMemoryObjectApi api = new InMemoryObjectApi(store, process);
      final Lease lease;

      Node(String host) {
        WriterId id = new WriterId(new HostName(host), new Incarnation(1));
        lease = new Lease(api, "orders", id, process, new Random(host.hashCode()), DURATION);
        lease.start();
      }
    }
  }

  /** Holding the lease and taking it over. */
  public static class Holding {

    @Test
    public void pausedHolderLosesLeaseAndFencingNumberGrows() {
      Rig rig = new Rig();
      Rig.Node a = rig.node("a");
      rig.time.advance(Duration.ofSeconds(1));
      Rig.Node b = rig.node("b");
      rig.time.advance(Duration.ofSeconds(60));
      assertEquals(a.lease.term().orElseThrow().fencing().value(), 1);
      assertTrue(b.lease.term().isEmpty());
      a.process.pause();
      rig.time.advance(Duration.ofSeconds(30));
      assertTrue(a.lease.term().isEmpty(), "held by its own clock while paused");
      assertEquals(b.lease.term().orElseThrow().fencing().value(), 2);
      a.process.resume();
      rig.time.advance(Duration.ofSeconds(30));
      assertTrue(a.lease.term().isEmpty());
      assertEquals(rig.heldFencingNumbers(), List.of(2L));
    }

    @Test
    public void leaseExpiresInLongOutageAndIsReacquired() {
      Rig rig = new Rig();
      rig.node("a");
      rig.time.advance(Duration.ofSeconds(1));
      rig.store.setOutage(true);
      rig.time.advance(DURATION);
      assertEquals(rig.heldFencingNumbers(), List.of());
      rig.store.setOutage(false);
      rig.time.advance(DURATION);
      assertEquals(rig.heldFencingNumbers(), List.of(1L));
    }
  }

  /** Releasing the lease. */
  public static class Releasing {

    @Test
    public void releaseDuringRenewalHandsOverAtOnceAndAllowsReacquisition() {
      Rig rig = new Rig();
      final Rig.Node a = rig.node("a");
      rig.time.advance(Duration.ofSeconds(1));
      final Rig.Node b = rig.node("b");
      rig.time.advance(Duration.ofSeconds(1));
      int before = rig.store.writes();
      rig.time.runUntil(() -> rig.store.writes() > before, DURATION);
      a.lease.release();
      rig.time.advance(DURATION.dividedBy(3));
      assertTrue(a.lease.term().isEmpty());
      assertEquals(b.lease.term().orElseThrow().fencing().value(), 2);
      a.lease.start();
      b.lease.close();
      rig.time.advance(DURATION.dividedBy(3));
      assertEquals(rig.heldFencingNumbers(), List.of(3L));
    }
  }

  /** Random pauses, outages and faulty writes. */
  public static class Faults {

    @Test
    public void neverTwoHoldersAndFencingNumbersNeverDecrease() {
      for (int seed = 1; seed <= 20; seed++) {
        runRandomFaults(seed);
      }
    }

    private static void runRandomFaults(int seed) {
      Rig rig = new Rig();
      Random random = new Random(seed);
      for (String host : List.of("a", "b", "c")) {
        rig.node(host).api.setWriteFaults(() -> fault(random)).setReadFaults(() -> Fault.NONE);
      }
      long highest = 0;
      int changes = 0;
      for (int i = 0; i < 2000; i++) {
        rig.time.advance(Duration.ofMillis(random.nextInt(1000)));
        Rig.Node n = rig.nodes.get(random.nextInt(3));
        switch (random.nextInt(60)) {
          case 0 -> n.process.pause();
          case 1 -> rig.store.setOutage(random.nextBoolean());
          case 2, 3, 4 -> n.process.resume();
          case 5 -> n.lease.release();
          case 6, 7, 8 -> n.lease.start();
          default -> {}
        }
        List<Long> held = rig.heldFencingNumbers();
        assertTrue(held.size() <= 1, "seed " + seed + ": held " + held);
        if (!held.isEmpty()) {
          assertTrue(
              held.get(0) >= highest, "seed " + seed + ": fencing number decreased to " + held);
          changes += held.get(0) > highest ? 1 : 0;
          highest = held.get(0);
        }
      }
      assertTrue(changes > 3, "seed " + seed + ": takeovers " + changes);
    }

    private static Fault fault(Random random) {
      return random.nextInt(4) == 0
          ? Fault.values()[random.nextInt(Fault.values().length)]
          : Fault.NONE;
    }
  }

  /** Leases in a store that is restored from a backup. */
  public static class Restored {
    @Test
    public void leaseIsAcquiredWithGreaterNumberOnceEarlierHolderHasLostIt() {
      Rig rig = new Rig();
      final InMemoryStore.Backup empty = rig.store.backUp();
      final Rig.Node a = rig.node("a");
      rig.time.advance(Duration.ofSeconds(1));
      rig.node("b");
      rig.time.advance(Duration.ofSeconds(20));
      assertEquals(rig.heldFencingNumbers(), List.of(1L));
      a.process.pause();
      rig.store.restore(empty);
      rig.time.advance(DURATION.minusSeconds(1));
      assertTrue(rig.nodes.get(1).lease.term().isEmpty(), "held by two");
      a.process.resume();
      rig.time.advance(DURATION.multipliedBy(3));
      assertEquals(rig.heldFencingNumbers().size(), 1);
      assertTrue(rig.heldFencingNumbers().getFirst() > 1, "held by " + rig.heldFencingNumbers());
    }

    /** The seeds of the random histories. */
    @DataProvider
    public static Object[][] seeds() {
      return IntStream.range(0, 40).mapToObj(i -> new Object[] {i}).toArray(Object[][]::new);
    }

    @Test(dataProvider = "seeds")
    public void neverTwoHoldersAndNumbersNeverDecreaseAcrossRestores(int seed) {
      Random random = new Random(seed);
      Rig rig = new Rig();
      for (String host : List.of("a", "b", "c")) {
        rig.node(host);
      }
      InMemoryStore.Backup copy = rig.store.backUp();
      long greatest = 0;
      for (int i = 0; i < 1_500; i++) {
        switch (random.nextInt(150)) {
          case 0 -> rig.store.restore(copy);
          case 1, 2 -> copy = rig.store.backUp();
          case 3 -> rig.store.setOutage(true);
          case 4, 5, 6 -> rig.store.setOutage(false);
          case 7 -> rig.nodes.get(random.nextInt(3)).process.pause();
          default -> {}
        }
        if (random.nextInt(10) == 0) {
          rig.nodes.forEach(n -> n.process.resume());
        }
        rig.time.advance(Duration.ofMillis(200));
        List<Long> held = rig.heldFencingNumbers();
        assertTrue(held.size() <= 1, "held by " + held + " at step " + i);
        for (long number : held) {
          assertTrue(number >= greatest, number + " after " + greatest + " at step " + i);
          greatest = number;
        }
      }
      assertTrue(greatest > 0, "never held");
    }
  }
}
