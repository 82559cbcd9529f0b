/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.membership;

import static org.larkkeel.peer.membership.SimCluster.MILLI;
import static org.larkkeel.peer.membership.SimCluster.SECOND;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Set;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.lib.Revision;
import org.larkkeel.peer.membership.SimCluster.Change;
import org.larkkeel.peer.membership.SimCluster.Node;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests of {@link Membership} in virtual time, with message loss, duplication, pauses and
 * partitions.
 */
public class MembershipTest {
  private static final int SIZE = 8;

  private static SimCluster joined(int size, long seed) {
    SimCluster cluster = new SimCluster(MembershipSettings.defaults(), seed);
    cluster.start(size);
    cluster.runUntil(cluster::hasConverged, 40 * SECOND, "the nodes did not converge");
    return cluster;
  }

  private static boolean allOthersSee(SimCluster cluster, Node subject, MemberState state) {
    return cluster.running().stream()
        .filter(node -> node != subject)
        .allMatch(node -> node.stateOf(subject) == state);
  }

  /** Nodes join, leave, restart and fail. */
  public static class Lifecycle {
    /** Returns the fractions of messages that are lost. */
    @DataProvider
    public Object[][] losses() {
      return new Object[][] {{0.0}, {0.05}, {0.2}};
    }

    @Test(dataProvider = "losses")
    public void joinsAndDetectsDeadNode(double loss) {
      SimCluster cluster = new SimCluster(MembershipSettings.defaults(), 1);
      cluster.loss = loss;
      cluster.duplication = 0.1;
      cluster.start(SIZE);
      cluster.run(20 * SECOND);
      Node victim = cluster.nodes.get(3);
      victim.killed = true;
      cluster.runUntil(
          () -> allOthersSee(cluster, victim, MemberState.DEAD),
          15 * SECOND,
          "not all nodes declared the killed node dead");
      for (Node node : cluster.running()) {
        assertFalse(node.membership.owners().contains(victim.host()));
      }
    }

    @Test
    public void restartDeclaresEarlierIncarnationDead() {
      SimCluster cluster = joined(SIZE, 2);
      Node old = cluster.nodes.get(2);
      old.killed = true;
      Node restarted = cluster.start(old.host().value(), 2);
      cluster.listHosts(Set.of());
      cluster.runUntil(
          () -> allOthersSee(cluster, restarted, MemberState.LIVE),
          10 * SECOND,
          "not all nodes see the restarted node as live");
      for (Node node : cluster.running()) {
        if (node != restarted) {
          assertTrue(
              node.changes.stream().anyMatch(c -> isDeath(c, old)),
              "the earlier incarnation was not declared dead: " + old);
        }
      }
      assertEquals(cluster.falseDeaths(), 0);
    }

    private static boolean isDeath(Change change, Node node) {
      return change.member().state() == MemberState.DEAD
          && change.member().id().equals(node.initialRecord.id());
    }

    @Test
    public void leavingNodeLosesOwnershipAndEndsAsLeft() {
      SimCluster cluster = joined(SIZE, 3);
      Node leaver = cluster.nodes.get(5);
      leaver.on(new Event.Leave(cluster.now));
      cluster.runUntil(
          () ->
              cluster.running().stream()
                  .noneMatch(node -> node.membership.owners().contains(leaver.host())),
          3 * SECOND,
          "the leaving node is still an owner");
      assertTrue(allOthersSee(cluster, leaver, MemberState.LIVE));
      leaver.on(new Event.Stop(cluster.now));
      leaver.killed = true;
      cluster.runUntil(
          () -> allOthersSee(cluster, leaver, MemberState.LEFT),
          3 * SECOND,
          "not all nodes received the stop");
    }

    @Test
    public void hostListedAsLeavingOwnsNothing() {
      SimCluster cluster = joined(SIZE, 4);
      Node leaver = cluster.nodes.get(1);
      cluster.listHosts(Set.of(leaver.host()));
      for (Node node : cluster.running()) {
        assertFalse(node.membership.owners().contains(leaver.host()));
      }
      assertTrue(leaver.membership.self().leaving());
    }

    @Test
    public void earlierProcessOfHostIsSuperseded() {
      SimCluster cluster = joined(SIZE, 5);
      Node old = cluster.nodes.get(0);
      cluster.start(old.host().value(), 2, SIZE);
      cluster.listHosts(Set.of());
      cluster.runUntil(() -> old.superseded, 10 * SECOND, "the earlier process was not superseded");
    }
  }

  /** Faults of the network or of a process after which no live node may stay declared dead. */
  public static class Faults {
    @Test
    public void fivePercentLossCausesNoFalseDeath() {
      SimCluster cluster = joined(SIZE, 11);
      cluster.loss = 0.05;
      cluster.run(600 * SECOND);
      assertEquals(cluster.falseDeaths(), 0);
    }

    /**
     * A node that missed a refutation which is no longer disseminated would declare a live node
     * dead; therefore the ack of the suspected node must carry the refutation again.
     */
    @Test
    public void ackToStaleSuspicionCarriesRefutation() {
      NodeAddress address = NodeAddress.parse("10.0.0.1:7400");
      DataCentreName dataCentre = new DataCentreName("dc-1");
      Member self = Member.live(id("host-1"), address, dataCentre);
      Member suspecting = Member.live(id("host-2"), NodeAddress.parse("10.0.0.2:7400"), dataCentre);
      Membership node = new Membership(MembershipSettings.defaults(), self, List.of(), 1, 0);
      Member suspicion = self.withState(MemberState.SUSPECT);
      assertEquals(
          selfRecordInAck(node, suspecting, 0, List.of(suspecting, suspicion)).refutation(), 1);
      // The refutation is no longer disseminated after this many messages.
      for (int i = 1; i <= 50; i++) {
        selfRecordInAck(node, suspecting, i * SECOND, List.of());
      }
      assertNull(selfRecordInAck(node, suspecting, 60 * SECOND, List.of()));
      Member late = selfRecordInAck(node, suspecting, 61 * SECOND, List.of(suspicion));
      assertNotNull(late, "the ack does not contain the refutation");
      assertEquals(late.refutation(), 1);
    }

    private static NodeId id(String host) {
      return new NodeId(new HostName(host), new Incarnation(1));
    }

    /**
     * Pings a node and returns the node's own record from the ack, or null if the ack does not
     * contain it.
     */
    private static Member selfRecordInAck(
        Membership node, Member from, long now, List<Member> records) {
      Message.Header header = new Message.Header(from.id(), Revision.NONE, records, List.of());
      Message ping = new Message.Ping(header, 7, node.self().id());
      for (Effect effect : node.on(new Event.Received(now, from.address(), ping))) {
        if (effect instanceof Effect.Send send && send.message() instanceof Message.Ack ack) {
          return ack.header().members().stream()
              .filter(member -> member.id().equals(node.self().id()))
              .findFirst()
              .orElse(null);
        }
      }
      throw new AssertionError("the node did not answer the ping");
    }

    @Test
    public void suspectsRefuteUnderHeavyLoss() {
      SimCluster cluster = joined(SIZE, 8);
      cluster.loss = 0.2;
      cluster.run(1_200 * SECOND);
      assertTrue(
          cluster.falseDeaths() < SIZE, "live nodes declared dead: " + cluster.falseDeaths());
    }

    /**
     * After a pause of its own process, a node finds its probes unanswered; it must not suspect its
     * peers because of that.
     */
    @Test
    public void pausedNodeDoesNotSuspectOthers() {
      SimCluster cluster = joined(SIZE, 12);
      Node paused = cluster.nodes.get(4);
      final int before = paused.changes.size();
      cluster.pause(paused, 30 * SECOND);
      cluster.run(40 * SECOND);
      assertTrue(cluster.hasConverged(), "the nodes do not see each other as live after the pause");
      List<Change> since = paused.changes.subList(before, paused.changes.size());
      assertTrue(
          since.stream().allMatch(change -> change.member().state() == MemberState.LIVE),
          "the paused node suspected others: " + since);
    }

    /**
     * After a partition both sides consider the other dead; rejoin attempts and refutations must
     * merge them.
     */
    @Test
    public void partitionHealsWithoutRestart() {
      SimCluster cluster = joined(SIZE, 13);
      for (int i = 0; i < 3; i++) {
        cluster.partitioned.add(cluster.nodes.get(i).host());
      }
      cluster.run(120 * SECOND);
      assertEquals(cluster.nodes.get(0).membership.owners().size(), 3);
      assertEquals(cluster.nodes.get(7).membership.owners().size(), 5);
      cluster.partitioned.clear();
      cluster.listHosts(Set.of());
      cluster.runUntil(
          cluster::hasConverged, 30 * SECOND, "the nodes did not converge after the partition");
    }

    /**
     * Duplicated and late messages with older records must not change the record of a dead node.
     */
    @Test
    public void deadNodeIsNotRevivedByDuplicatedRecords() {
      SimCluster cluster = joined(SIZE, 14);
      Node victim = cluster.nodes.get(6);
      victim.killed = true;
      cluster.duplication = 0.5;
      cluster.run(15 * SECOND);
      int changesBefore = (int) cluster.nodes.get(0).changes.stream().count();
      cluster.run(120 * SECOND);
      assertEquals(
          cluster.nodes.get(0).changes.size(),
          changesBefore,
          "records about the dead node changed");
    }
  }

  /** Records that are piggybacked on probes and their answers. */
  public static class Piggyback {
    @Test
    public void revisionAndLoadReachEveryNode() {
      SimCluster cluster = joined(SIZE, 21);
      Node source = cluster.nodes.get(0);
      source.on(new Event.RevisionHeld(cluster.now, new Revision(42)));
      source.on(new Event.LoadChanged(cluster.now, new LoadRecord("u1", 7, new byte[] {1})));
      cluster.runUntil(
          () ->
              cluster.running().stream()
                  .filter(node -> node != source)
                  .allMatch(node -> hasRevisionAndLoad(node)),
          5 * SECOND,
          "not all nodes received the revision and the load record");
    }

    private static boolean hasRevisionAndLoad(Node node) {
      return node.loads.containsKey("u1")
          && node.revisions.stream().anyMatch(newer -> newer.revision().value() == 42);
    }

    @Test
    public void messagesStayWithinBoundUnderChurnAndLoad() {
      SimCluster cluster = joined(32, 22);
      for (int i = 0; i < 100; i++) {
        Node source = cluster.nodes.get(i % 32);
        for (int k = 0; k < 20; k++) {
          LoadRecord load = new LoadRecord("upstream-" + i + "-" + k, i, new byte[40]);
          source.on(new Event.LoadChanged(cluster.now, load));
        }
        cluster.run(100 * MILLI);
      }
      // The codec of the simulated cluster refuses datagrams that are too long; the total must stay
      // within the limit per second, too.
      long sent = cluster.nodes.stream().mapToLong(node -> node.bytesSent).sum();
      long seconds = cluster.now / SECOND;
      assertTrue(sent / 32 / seconds < 2_500, "bytes per second and node: " + sent / 32 / seconds);
    }
  }
}
