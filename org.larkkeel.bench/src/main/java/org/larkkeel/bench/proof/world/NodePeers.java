/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.proof.world;

import com.google.common.collect.ImmutableSet;
import java.util.List;
import org.larkkeel.daemon.PeerAdapter;
import org.larkkeel.http.upstream.EngineRequestId;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.Revision;
import org.larkkeel.peer.membership.Effect;
import org.larkkeel.peer.membership.Event;
import org.larkkeel.peer.membership.HostEntry;
import org.larkkeel.peer.membership.Member;
import org.larkkeel.peer.membership.Membership;
import org.larkkeel.peer.membership.MembershipSettings;
import org.larkkeel.peer.membership.Message;
import org.larkkeel.peer.membership.NodeAddress;
import org.larkkeel.peer.membership.NodeId;

/**
 * Runs the membership protocol of one node and notifies the node of changes.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
final class NodePeers {
  private static final long MIN_TICK_NANOS = 20 * VirtualTime.MILLI;

  private final World world;
  private final Node node;
  private final Membership membership;
  private final PeerAdapter adapter;

  NodePeers(World world, Node node, long seed) {
    this.world = world;
    this.node = node;
    NodeId id = new NodeId(node.host, node.incarnation);
    Member self = Member.live(id, world.address(node.host), new DataCentreName("manizales"));
    this.membership =
        new Membership(MembershipSettings.defaults(), self, List.of(), seed, world.time().now());
    EngineRequestId.Origin origin = new EngineRequestId.Origin(node.host, node.incarnation);
    this.adapter = new PeerAdapter(origin, node::apply, () -> world.time().now());
    adapter.setListener(
        new PeerAdapter.PeerChangeListener() {
          @Override
          public void newerRevision(Member peer, Revision revision) {
            node.config().pullFrom(peer.id().host());
          }

          @Override
          public void superseded() {
            node.kill();
          }
        });
  }

  void start() {
    tick();
  }

  void setHosts(List<HostEntry> hosts) {
    apply(new Event.HostList(world.time().now(), hosts));
  }

  void announceRevision(Revision revision) {
    apply(new Event.RevisionHeld(world.time().now(), revision));
  }

  void leave() {
    apply(new Event.Leave(world.time().now()));
  }

  void stop() {
    apply(new Event.Stop(world.time().now()));
  }

  boolean isDead(EngineRequestId.Origin origin) {
    return adapter.isDead(origin);
  }

  ImmutableSet<HostName> owners() {
    return ImmutableSet.copyOf(membership.owners());
  }

  private void receive(NodeAddress source, Message message) {
    apply(new Event.Received(world.time().now(), source, message));
  }

  private void tick() {
    apply(new Event.Tick(world.time().now()));
    long next = Math.max(membership.nextDeadline(), world.time().now() + MIN_TICK_NANOS);
    node.process.at(next, this::tick);
  }

  private void apply(Event event) {
    for (Effect effect : membership.on(event)) {
      perform(effect);
    }
  }

  private void perform(Effect effect) {
    switch (effect) {
      case Effect.Send send -> send(send);
      case Effect.MemberChanged changed -> {
        adapter.memberChanged(changed.member(), changed.leaving());
        node.runs().ownersChanged();
      }
      case Effect.NewerRevision newer -> adapter.newerRevision(newer.peer(), newer.revision());
      case Effect.LoadReceived learned -> {}
      case Effect.Superseded superseded -> adapter.superseded(superseded.successor());
    }
  }

  private void send(Effect.Send send) {
    NodeAddress source = world.address(node.host);
    world
        .nodeAt(send.to())
        .ifPresent(
            to ->
                world
                    .peerFaults()
                    .send(to.process, () -> to.peers().receive(source, send.message())));
  }
}
