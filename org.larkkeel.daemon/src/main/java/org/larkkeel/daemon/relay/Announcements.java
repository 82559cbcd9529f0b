/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import java.util.Collection;
import java.util.List;

/**
 * Announces this node to its peers: when it learns of them, and in a large cluster, where most
 * nodes exchange nothing else, periodically.
 *
 * <p>In each period a node sends one presence message to each peer. The period grows with the
 * cluster, so that the messages that a node sends and receives in a second do not. Not thread-safe.
 */
final class Announcements {
  /** The minimum interval between two presence messages, for each node that receives them. */
  private static final long PRESENCE_PER_PEER_NANOS = 100_000_000L;

  /**
   * The number of nodes, first by name, that answer each newly started node, as the coordinator and
   * the standby do wherever they are: these two, and as many that may take their place. A new node
   * that did not know one of them could ask the wrong node.
   */
  private static final int FIRST_NODES = 4;

  private final PeerTable peers;
  private final PeerMessenger messenger;
  private boolean isFirstNode;
  private boolean periodBegun;
  private long lastPresenceNanos;

  Announcements(PeerTable peers, PeerMessenger messenger) {
    this.peers = peers;
    this.messenger = messenger;
  }

  /** Announces this node to all peers. */
  void announceToAll() {
    announce(peers.all());
  }

  /**
   * Announces this node to those of the given peers that have not reported and to which it was not
   * announced before.
   *
   * <p>The registry is read again 2 s after the start, when this node is no longer new. A second
   * announcement to all would let the peers prefer it to a coordinator that they know as new.
   */
  void announceToUnheard(Collection<PeerTable.Peer> added) {
    announce(added.stream().filter(p -> !p.hasReported() && !p.announced).toList());
  }

  private void announce(Collection<PeerTable.Peer> receivers) {
    if (!receivers.isEmpty()) {
      messenger.send(receivers, messenger.message(PeerMessage.Kind.PRESENCE));
      receivers.forEach(p -> p.announced = true);
    }
  }

  /**
   * Sends what is due in a large cluster; to be called every {@link LoadSharing#PERIOD_NANOS}.
   *
   * <p>A newly started node has announced itself to the registered nodes before, so that its first
   * period begins with the other peers only. Since a message may be lost, it repeats its
   * announcement until the first nodes by name have answered; if it is the coordinator or the
   * standby itself, until all peers have reported.
   */
  void periodic(long nowNanos) {
    isFirstNode = peers.rank() < FIRST_NODES;
    if (!periodBegun) {
      periodBegun = true;
      lastPresenceNanos = nowNanos;
      announce(peers.unannounced());
    } else if (nowNanos - lastPresenceNanos >= periodNanos()) {
      lastPresenceNanos = nowNanos;
      announceToAll();
    }
    if (messenger.state() == NodeState.YOUNG) {
      announce(peers.coordinates(NodeState.YOUNG) ? peers.unheard() : unheardFirstNodes());
    }
  }

  /** Returns those of the first nodes by name, as registered, that have not reported. */
  private List<PeerTable.Peer> unheardFirstNodes() {
    return peers.firstNamed(FIRST_NODES).stream().filter(p -> !p.hasReported()).toList();
  }

  /**
   * Returns whether this node answers a newly started one: in a large cluster only the coordinator,
   * the standby and the first nodes by name do, because answers of all nodes to all would grow with
   * the square of the cluster size.
   */
  boolean answersNewNodes() {
    return isFirstNode || peers.coordinates(messenger.state());
  }

  /** Returns the interval between two presence messages to a peer in a large cluster. */
  long periodNanos() {
    return Math.max(LoadSharing.PERIOD_NANOS, peers.size() * PRESENCE_PER_PEER_NANOS);
  }
}
