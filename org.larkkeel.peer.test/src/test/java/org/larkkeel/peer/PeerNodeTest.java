/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.errors.LarkkeelException;
import org.larkkeel.lib.Revision;
import org.larkkeel.lib.WorkspaceName;
import org.larkkeel.peer.limits.RateLimit;
import org.larkkeel.peer.membership.Member;
import org.larkkeel.peer.membership.MemberState;
import org.testng.annotations.Test;

/** Tests of {@link PeerNode} on loopback. */
public class PeerNodeTest {
  private static final long PATIENCE_SECONDS = 30;

  private static void await(CountDownLatch latch, String message) throws InterruptedException {
    assertTrue(latch.await(PATIENCE_SECONDS, TimeUnit.SECONDS), message);
  }

  /** Nodes that find each other. */
  public static class Cluster {
    @Test
    public void nodesJoinAndTellOfStop() throws IOException, InterruptedException {
      int count = 4;
      Set<String> seen = ConcurrentHashMap.newKeySet();
      CountDownLatch pairs = new CountDownLatch(count * (count - 1));
      // The stopping node tells its own listener as well.
      CountDownLatch stops = new CountDownLatch(count);
      PeerListener listener =
          new PeerListener() {
            @Override
            public void memberChanged(Member member, boolean leaving) {
              String key = Thread.currentThread().threadId() + " " + member.id();
              if (member.state() == MemberState.LIVE && seen.add(key)) {
                pairs.countDown();
              }
              if (member.state() == MemberState.LEFT && seen.add("left " + key)) {
                stops.countDown();
              }
            }
          };
      List<PeerNode> nodes = TestNodes.startAll(count, listener);
      await(pairs, "not all nodes know each other");
      assertEquals(nodes.get(0).view().owners().size(), count);
      nodes.get(3).close();
      await(stops, "the stop was not heard");
      assertEquals(nodes.get(0).view().owners().size(), count - 1);
      nodes.forEach(PeerNode::close);
    }

    @Test
    public void newNodeHearsOfRevisionAndPullsIt() throws Exception {
      byte[] content = "rules".getBytes(StandardCharsets.UTF_8);
      ConfigSource source = from -> new ConfigContent(new Revision(9), content, false);
      CountDownLatch heard = new CountDownLatch(1);
      PeerListener listener =
          new PeerListener() {
            @Override
            public void newerRevision(Member peer, Revision revision) {
              if (revision.equals(new Revision(9))) {
                heard.countDown();
              }
            }
          };
      try (PeerNode old =
          PeerNode.start(
              TestNodes.settings("host-a", 1, List.of()), new PeerListener() {}, source)) {
        old.advertise(new Revision(9));
        PeerSettings settings = TestNodes.settings("host-b", 1, List.of(old.address()));
        try (PeerNode fresh = PeerNode.start(settings, listener, TestNodes::noConfig)) {
          await(heard, "the revision was not heard");
          ConfigContent pulled =
              fresh
                  .pullConfig(old.address(), Revision.NONE)
                  .get(PATIENCE_SECONDS, TimeUnit.SECONDS);
          assertEquals(pulled.revision(), new Revision(9));
          assertEquals(pulled.bytes(), content);
        }
      }
    }
  }

  /** Slots and limits between real nodes. */
  public static class Leases {
    private static final Duration PATIENCE = Duration.ofSeconds(PATIENCE_SECONDS);

    private static PeerNode ownerOf(List<PeerNode> nodes, String key) {
      return nodes.stream().filter(node -> node.owns(key)).findFirst().orElseThrow();
    }

    private static void awaitAgreement(List<PeerNode> nodes) throws InterruptedException {
      long deadline = System.nanoTime() + PATIENCE.toNanos();
      while (!nodes.stream().allMatch(node -> node.view().owners().size() == nodes.size())) {
        assertTrue(System.nanoTime() < deadline, "the nodes do not know each other");
        Thread.sleep(5);
      }
    }

    @Test
    public void slotsAreCountedOverAllNodes() throws Exception {
      List<PeerNode> nodes = TestNodes.startAll(3, new PeerListener() {});
      awaitAgreement(nodes);
      ownerOf(nodes, "u1").updateCapacity("u1", 2, 0);
      SlotLease first = nodes.get(0).acquireSlot("u1", 0, PATIENCE).get();
      final SlotLease second = nodes.get(1).acquireSlot("u1", 0, PATIENCE).get();
      var third = nodes.get(2).acquireSlot("u1", 0, Duration.ofMillis(300));
      ExecutionException failure = expectThrows(ExecutionException.class, third::get);
      assertEquals(((LarkkeelException) failure.getCause()).kind(), ErrorKind.OVERLOADED);
      var fourth = nodes.get(2).acquireSlot("u1", 0, PATIENCE);
      nodes.get(0).releaseSlot(first);
      fourth.get(PATIENCE_SECONDS, TimeUnit.SECONDS);
      nodes.get(1).releaseSlot(second);
      nodes.forEach(PeerNode::close);
    }

    @Test
    public void newOwnerTakesOverWhenOwnerStops() throws Exception {
      List<PeerNode> nodes = new ArrayList<>(TestNodes.startAll(3, new PeerListener() {}));
      awaitAgreement(nodes);
      PeerNode owner = ownerOf(nodes, "u1");
      owner.updateCapacity("u1", 1, 0);
      nodes.remove(owner);
      nodes.get(0).acquireSlot("u1", 0, PATIENCE).get();
      owner.close();
      awaitAgreement(nodes);
      ownerOf(nodes, "u1").updateCapacity("u1", 2, 1);
      nodes.get(1).acquireSlot("u1", 0, PATIENCE).get();
      var tooMany = nodes.get(1).acquireSlot("u1", 0, Duration.ofMillis(500));
      expectThrows(ExecutionException.class, tooMany::get);
      nodes.forEach(PeerNode::close);
    }

    @Test
    public void limitHoldsOverAllNodes() throws Exception {
      List<PeerNode> nodes = TestNodes.startAll(3, new PeerListener() {});
      awaitAgreement(nodes);
      WorkspaceName team = new WorkspaceName("clause-team");
      nodes.forEach(node -> node.setLimits(Map.of(team, new RateLimit(2, 1_000)), Map.of()));
      long start = System.nanoTime();
      List<CompletableFuture<LimitDecision>> decisions = new ArrayList<>();
      for (int i = 0; i < 30; i++) {
        decisions.add(nodes.get(i % 3).acquireLimit(team, 10, Duration.ofMillis(300)));
      }
      int admitted = 0;
      for (CompletableFuture<LimitDecision> decision : decisions) {
        admitted += decision.get(PATIENCE_SECONDS, TimeUnit.SECONDS).admitted() ? 1 : 0;
      }
      double seconds = (System.nanoTime() - start) / 1e9;
      assertTrue(admitted >= 1, "nothing admitted");
      assertTrue(admitted <= 2 + 2 * seconds, "admitted " + admitted + " in " + seconds + " s");
      var other = nodes.get(0).acquireLimit(new WorkspaceName("free"), 10, PATIENCE);
      assertTrue(other.get().admitted());
      nodes.forEach(PeerNode::close);
    }

    @Test
    public void waitsFailWhenNodeCloses() throws Exception {
      PeerNode node = TestNodes.startAll(1, new PeerListener() {}).getFirst();
      var wait = node.acquireSlot("u1", 0, PATIENCE);
      node.close();
      ExecutionException failure = expectThrows(ExecutionException.class, wait::get);
      assertEquals(((LarkkeelException) failure.getCause()).kind(), ErrorKind.NOT_READY);
    }

    @Test
    public void callsDuringCloseFail() throws Exception {
      Queue<CompletableFuture<SlotLease>> late = new ConcurrentLinkedQueue<>();
      CompletableFuture<PeerNode> started = new CompletableFuture<>();
      PeerListener listener =
          new PeerListener() {
            @Override
            public void memberChanged(Member member, boolean leaving) {
              // More calls than the core gets through before it is stopped.
              for (int i = 0; i < 5_000; i++) {
                late.add(started.join().acquireSlot("u1", 0, PATIENCE));
              }
            }
          };
      started.complete(TestNodes.startAll(1, listener).getFirst());
      started.join().close();
      assertFalse(late.isEmpty());
      for (CompletableFuture<SlotLease> call : late) {
        assertThrows(ExecutionException.class, () -> call.get(1, TimeUnit.SECONDS));
      }
    }
  }
}
