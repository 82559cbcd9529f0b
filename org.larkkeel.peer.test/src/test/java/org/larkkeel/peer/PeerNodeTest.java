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

/** Tests of {@link PeerNode} with real sockets on the loopback address. */
public class PeerNodeTest {
  private static final long TIMEOUT_SECONDS = 30;

  private static void await(CountDownLatch latch, String message) throws InterruptedException {
    assertTrue(latch.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), message);
  }

  /** Nodes join, announce changes to each other, and pull the configuration. */
  public static class Cluster {
    @Test
    public void nodesJoinAndAnnounceStop() throws IOException, InterruptedException {
      int count = 4;
      Set<String> seen = ConcurrentHashMap.newKeySet();
      CountDownLatch pairs = new CountDownLatch(count * (count - 1));
      // The stopping node notifies its own listener, too.
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
      await(pairs, "not all nodes see each other as live");
      assertEquals(nodes.get(0).view().owners().size(), count);
      nodes.get(3).close();
      await(stops, "not all listeners were notified of the stop");
      assertEquals(nodes.get(0).view().owners().size(), count - 1);
      nodes.forEach(PeerNode::close);
    }

    @Test
    public void newNodeLearnsRevisionAndPullsIt() throws Exception {
      byte[] content = "rules".getBytes(StandardCharsets.UTF_8);
      ConfigSource source = from -> new ConfigContent(new Revision(9), content, false);
      CountDownLatch announced = new CountDownLatch(1);
      PeerListener listener =
          new PeerListener() {
            @Override
            public void newerRevision(Member peer, Revision revision) {
              if (revision.equals(new Revision(9))) {
                announced.countDown();
              }
            }
          };
      try (PeerNode old =
          PeerNode.start(
              TestNodes.settings("host-a", 1, List.of()), new PeerListener() {}, source)) {
        old.advertise(new Revision(9));
        PeerSettings settings = TestNodes.settings("host-b", 1, List.of(old.address()));
        try (PeerNode joining = PeerNode.start(settings, listener, TestNodes::noConfig)) {
          await(announced, "the joining node was not notified of the revision");
          ConfigContent pulled =
              joining
                  .pullConfig(old.address(), Revision.NONE)
                  .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
          assertEquals(pulled.revision(), new Revision(9));
          assertEquals(pulled.bytes(), content);
        }
      }
    }
  }

  /** Slots and rate limits that nodes share. */
  public static class Leases {
    private static final Duration TIMEOUT = Duration.ofSeconds(TIMEOUT_SECONDS);

    private static PeerNode ownerOf(List<PeerNode> nodes, String key) {
      return nodes.stream().filter(node -> node.owns(key)).findFirst().orElseThrow();
    }

    private static void awaitConvergence(List<PeerNode> nodes) throws InterruptedException {
      long deadline = System.nanoTime() + TIMEOUT.toNanos();
      while (!nodes.stream().allMatch(node -> node.view().owners().size() == nodes.size())) {
        assertTrue(System.nanoTime() < deadline, "the nodes do not see each other as owners");
        Thread.sleep(5);
      }
    }

    @Test
    public void slotsAreCountedOverAllNodes() throws Exception {
      List<PeerNode> nodes = TestNodes.startAll(3, new PeerListener() {});
      awaitConvergence(nodes);
      ownerOf(nodes, "u1").updateCapacity("u1", 2, 0);
      SlotLease first = nodes.get(0).acquireSlot("u1", 0, TIMEOUT).get();
      final SlotLease second = nodes.get(1).acquireSlot("u1", 0, TIMEOUT).get();
      var third = nodes.get(2).acquireSlot("u1", 0, Duration.ofMillis(300));
      ExecutionException failure = expectThrows(ExecutionException.class, third::get);
      assertEquals(((LarkkeelException) failure.getCause()).kind(), ErrorKind.OVERLOADED);
      var fourth = nodes.get(2).acquireSlot("u1", 0, TIMEOUT);
      nodes.get(0).releaseSlot(first);
      fourth.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      nodes.get(1).releaseSlot(second);
      nodes.forEach(PeerNode::close);
    }

    /** A new owner must count the slot that was granted by the stopped owner. */
    @Test
    public void newOwnerTakesOverWhenOwnerStops() throws Exception {
      List<PeerNode> nodes = new ArrayList<>(TestNodes.startAll(3, new PeerListener() {}));
      awaitConvergence(nodes);
      PeerNode owner = ownerOf(nodes, "u1");
      owner.updateCapacity("u1", 1, 0);
      nodes.remove(owner);
      nodes.get(0).acquireSlot("u1", 0, TIMEOUT).get();
      owner.close();
      awaitConvergence(nodes);
      ownerOf(nodes, "u1").updateCapacity("u1", 2, 1);
      nodes.get(1).acquireSlot("u1", 0, TIMEOUT).get();
      var tooMany = nodes.get(1).acquireSlot("u1", 0, Duration.ofMillis(500));
      expectThrows(ExecutionException.class, tooMany::get);
      nodes.forEach(PeerNode::close);
    }

    @Test
    public void limitHoldsOverAllNodes() throws Exception {
      List<PeerNode> nodes = TestNodes.startAll(3, new PeerListener() {});
      awaitConvergence(nodes);
      WorkspaceName team = new WorkspaceName("clause-team");
      nodes.forEach(node -> node.setLimits(Map.of(team, new RateLimit(2, 1_000)), Map.of()));
      long start = System.nanoTime();
      List<CompletableFuture<LimitDecision>> decisions = new ArrayList<>();
      for (int i = 0; i < 30; i++) {
        decisions.add(nodes.get(i % 3).acquireLimit(team, 10, Duration.ofMillis(300)));
      }
      int admitted = 0;
      for (CompletableFuture<LimitDecision> decision : decisions) {
        admitted += decision.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).admitted() ? 1 : 0;
      }
      double seconds = (System.nanoTime() - start) / 1e9;
      assertTrue(admitted >= 1, "no request was admitted");
      assertTrue(admitted <= 2 + 2 * seconds, "admitted " + admitted + " in " + seconds + " s");
      var other = nodes.get(0).acquireLimit(new WorkspaceName("free"), 10, TIMEOUT);
      assertTrue(other.get().admitted());
      nodes.forEach(PeerNode::close);
    }

    @Test
    public void pendingAcquireFailsWhenNodeCloses() throws Exception {
      PeerNode node = TestNodes.startAll(1, new PeerListener() {}).getFirst();
      var wait = node.acquireSlot("u1", 0, TIMEOUT);
      node.close();
      ExecutionException failure = expectThrows(ExecutionException.class, wait::get);
      assertEquals(((LarkkeelException) failure.getCause()).kind(), ErrorKind.NOT_READY);
    }

    /** Calls that arrive while the node closes must fail instead of waiting for ever. */
    @Test
    public void callsDuringCloseFail() throws Exception {
      Queue<CompletableFuture<SlotLease>> late = new ConcurrentLinkedQueue<>();
      CompletableFuture<PeerNode> started = new CompletableFuture<>();
      PeerListener listener =
          new PeerListener() {
            @Override
            public void memberChanged(Member member, boolean leaving) {
              // More calls than the core thread handles before it is stopped.
              for (int i = 0; i < 5_000; i++) {
                late.add(started.join().acquireSlot("u1", 0, TIMEOUT));
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
