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
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.larkkeel.daemon.VirtualTime;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.quota.QuotaTolerance;
import org.larkkeel.relay.BuildName;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RelayEvent;
import org.larkkeel.relay.RelayRouter;
import org.larkkeel.relay.RelaySettings;
import org.larkkeel.relay.RelayUpstream;
import org.larkkeel.relay.ServiceName;
import org.larkkeel.relay.Stage;
import org.larkkeel.relay.StreamBuild;
import org.larkkeel.relay.StreamId;
import org.larkkeel.relay.StreamLookup;
import org.testng.annotations.Test;

/**
 * Tests that nodes find the builds of streams that others began.
 *
 * <p>Guards against streams that can not be taken up since the node that began them is gone.
 */
public class StreamSharingTest {
  private static final DataCentreName DATA_CENTRE = new DataCentreName("dc-1");
  private static final ServiceName SERVICE = new ServiceName("model");
  private static final BuildName OLD = new BuildName("v1");
  private static final BuildName NEW = new BuildName("v1.1");
  private static final Duration LATENCY = Duration.ofMillis(2);

  /** The time within which a question must be answered or given up. */
  private static final Duration MAX_WAIT = Duration.ofMillis(200);

  private static final int STREAMS = 60;

  /** Nodes that exchange only messages about streams, in virtual time. */
  private static final class Network {
    final VirtualTime time = new VirtualTime();
    final Map<InetSocketAddress, Node> nodes = new HashMap<>();
    final List<Node> order = new ArrayList<>();
    final SplittableRandom random = new SplittableRandom(11);
    double lossShare;

    Network(int count) {
      for (int i = 0; i < count; i++) {
        add();
      }
    }

    Node add() {
      Node added = new Node(this, order.size());
      for (Node n : order) {
        n.meet(added);
        added.meet(n);
      }
      order.add(added);
      nodes.put(added.address, added);
      return added;
    }

    /** Ends nodes, which the others do not know yet. */
    void kill(int from, int to) {
      order.subList(from, to).forEach(n -> n.dead = true);
    }
  }

  private static final class Node implements LoadSharing.Environment {
    final Network network;
    final InetSocketAddress address;
    final HostName name;
    final PeerTable peers;
    final RelayRouter router =
        new RelayRouter(
            new RelaySettings(DATA_CENTRE, 0.2, 20, 1, 1, 512, 1, 7, QuotaTolerance.NONE));
    final StreamSharing sharing;
    final Map<StreamId, StreamLookup> found = new HashMap<>();
    boolean dead;
    boolean older;

    Node(Network network, int index) {
      this.network = network;
      this.address = new InetSocketAddress("127.0.1." + (index + 1), 7000);
      this.name = new HostName("node-" + index);
      this.peers = new PeerTable(name);
      this.sharing = new StreamSharing(peers, this, this::sendTo);
      sharing.router(router);
      submit(
          new RelayEvent.UpstreamsChanged(
              now(),
              ImmutableMap.of(
                  new UpstreamName("a"),
                  upstream("a", OLD),
                  new UpstreamName("b"),
                  upstream("b", NEW)),
              ImmutableSet.of()));
    }

    private static RelayUpstream upstream(String name, BuildName build) {
      return new RelayUpstream(
          UpstreamIncarnation.unknown(new UpstreamName(name)),
          SERVICE,
          "127.0.0.1:80",
          DATA_CENTRE,
          1,
          Stage.WHOLE,
          build,
          false);
    }

    void meet(Node other) {
      peers.registered(peers.getOrAdd(other.address, now()), other.name);
    }

    void record(StreamId stream, BuildName build) {
      sharing.execute(new RelayEffect.RecordStream(new StreamBuild(stream, SERVICE, build)));
    }

    void find(StreamId stream) {
      sharing.execute(new RelayEffect.FindStream(stream, SERVICE));
    }

    private void sendTo(PeerTable.Peer to, StreamMessage message) {
      byte[] bytes = StreamMessage.toBytes(message);
      if (network.random.nextDouble() >= network.lossShare) {
        network.time.schedule(LATENCY, () -> network.nodes.get(to.address).receive(address, bytes));
      }
    }

    private void receive(InetSocketAddress from, byte[] bytes) {
      if (dead || older) {
        return;
      }
      PeerMessage message =
          PeerMessage.of(
                  PeerMessage.Kind.STREAM,
                  new PeerMessage.Sender(
                      network.nodes.get(from).name,
                      DATA_CENTRE,
                      NodeState.STEADY,
                      FeedChanges.NONE,
                      ImmutableList.of()))
              .withExtension(ExtensionId.STREAM, bytes);
      Optional<PeerMessage> read = PeerMessageCodec.fromBytes(PeerMessageCodec.toBytes(message));
      read.flatMap(StreamMessage::read)
          .ifPresent(m -> sharing.received(peers.getOrAdd(from, now()), m));
    }

    @Override
    public void send(InetSocketAddress to, byte[] message) {}

    @Override
    public void after(long nanos, Runnable action) {
      network.time.schedule(Duration.ofNanos(nanos), action);
    }

    @Override
    public void submit(RelayEvent event) {
      if (event instanceof RelayEvent.StreamFound f) {
        found.put(f.stream(), f.result());
      }
      router.apply(event, e -> {});
    }

    @Override
    public long now() {
      return network.time.nanoTime();
    }
  }

  private static StreamId stream(int i) {
    return new StreamId("call-" + i);
  }

  private static BuildName build(int i) {
    return i % 3 == 0 ? OLD : NEW;
  }

  /** Records all streams at a node. */
  private static void recordAll(Network network, Node node) {
    for (int i = 0; i < STREAMS; i++) {
      node.record(stream(i), build(i));
    }
    network.time.advance(Duration.ofMillis(50));
  }

  /** Asks for all streams at a node; returns the number of streams whose build was found. */
  private static int findAll(Network network, Node node) {
    for (int i = 0; i < STREAMS; i++) {
      node.find(stream(i));
    }
    network.time.advance(MAX_WAIT);
    int known = 0;
    for (int i = 0; i < STREAMS; i++) {
      StreamLookup result = node.found.get(stream(i));
      if (result instanceof StreamLookup.Known k) {
        assertEquals(k.build(), build(i), "stream " + i);
        known++;
      } else {
        assertEquals(result, new StreamLookup.Unknown(), "stream " + i);
      }
    }
    return known;
  }

  /** Streams of a node that has ended. */
  public static class AfterTheirNode {
    @Test
    public void areFoundByOthers() {
      Network network = new Network(12);
      recordAll(network, network.order.getFirst());
      network.kill(0, 1);
      assertEquals(findAll(network, network.order.get(7)), STREAMS);
    }

    /** Guards against streams whose keepers are killed together with the node that began them. */
    @Test
    public void areFoundAlthoughHalfOfTheNodesEndAndMessagesAreLost() {
      Network network = new Network(30);
      network.lossShare = 0.05;
      recordAll(network, network.order.getFirst());
      network.kill(0, 15);
      int known = findAll(network, network.order.get(20));
      assertTrue(known >= STREAMS / 2, known + " of " + STREAMS);
    }

    /** Guards against other keepers for the same stream once nodes are added. */
    @Test
    public void areFoundByNodesThatWereAddedSince() {
      Network network = new Network(12);
      recordAll(network, network.order.getFirst());
      network.kill(0, 1);
      Node added = network.add();
      network.add();
      int known = findAll(network, added);
      assertTrue(known >= STREAMS * 0.95, known + " of " + STREAMS);
    }
  }

  /** Questions that are not answered. */
  public static class Unanswered {
    /** Guards against calls that wait for nodes of an older version. */
    @Test
    public void endInTimeAmongOlderNodes() {
      Network network = new Network(6);
      network.order.subList(1, 6).forEach(n -> n.older = true);
      assertEquals(findAll(network, network.order.getFirst()), 0);
    }

    @Test
    public void endAtOnceWithoutPeers() {
      Network network = new Network(1);
      assertEquals(findAll(network, network.order.getFirst()), 0);
    }
  }
}
