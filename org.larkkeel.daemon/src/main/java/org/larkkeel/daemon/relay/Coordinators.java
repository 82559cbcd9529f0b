/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.Optional;
import org.larkkeel.daemon.relay.PeerTable.Coordinator;
import org.larkkeel.daemon.relay.PeerTable.Peer;
import org.larkkeel.lib.HostName;

/**
 * The first two nodes in the order of coordinators, with and without suspect peers.
 *
 * <p>The order is by state, then by name; nodes that are stopping have no place in it. The first
 * two are kept, and a peer that has changed is compared with the last of them only, so that the
 * messages of all peers together cost as much as the cluster has nodes, not the square of it. Not
 * thread-safe.
 */
final class Coordinators {
  private static final int MAX_COORDINATORS = 2;

  private final HostName self;
  private final Collection<Peer> peers;
  private Choice trusted = Choice.NONE;
  private Choice withSuspects = Choice.NONE;
  private NodeState ownState = NodeState.STEADY;
  private boolean outdated = true;
  private long examined;

  /**
   * The first nodes of the order.
   *
   * @param nodes the nodes, the first one first
   * @param last the state and name of the last of them; empty if there are fewer than two nodes
   */
  private record Choice(ImmutableList<Coordinator> nodes, Optional<Key> last) {
    static final Choice NONE = new Choice(ImmutableList.of(), Optional.empty());

    /** Returns whether a peer is among the nodes or would be by its present state. */
    boolean isAffectedBy(Peer peer) {
      return last.isEmpty()
          || Key.of(peer).compareTo(last.get()) <= 0
          || nodes.stream().anyMatch(n -> n.peer().isPresent() && n.peer().get() == peer);
    }
  }

  /** The place of a node in the order. */
  private record Key(NodeState state, HostName name) implements Comparable<Key> {
    static Key of(Peer peer) {
      return new Key(peer.state, peer.name);
    }

    @Override
    public int compareTo(Key other) {
      int byState = state.compareTo(other.state);
      return byState != 0 ? byState : name.compareTo(other.name);
    }
  }

  /**
   * Creates the choice.
   *
   * @param self the name of this node
   * @param peers a view of the known peers
   */
  Coordinators(HostName self, Collection<Peer> peers) {
    this.self = self;
    this.peers = peers;
  }

  /** Notes that the name, the state or the liveness of a peer, or its suspicion, has changed. */
  void changed(Peer peer) {
    outdated |=
        peer.hasReported() && (trusted.isAffectedBy(peer) || withSuspects.isAffectedBy(peer));
  }

  /** Returns the coordinator and its standby; suspect peers are left out. */
  ImmutableList<Coordinator> trusted(NodeState newOwnState) {
    update(newOwnState);
    return trusted.nodes();
  }

  /** Returns the coordinator and its standby as if no peer were suspect. */
  ImmutableList<Coordinator> withSuspects(NodeState newOwnState) {
    update(newOwnState);
    return withSuspects.nodes();
  }

  /** Returns how many peers were examined so far. */
  long examined() {
    return examined;
  }

  private void update(NodeState newOwnState) {
    if (outdated || ownState != newOwnState) {
      outdated = false;
      ownState = newOwnState;
      trusted = choose(false);
      withSuspects = choose(true);
    }
  }

  private Choice choose(boolean includeSuspects) {
    Selection selection = new Selection();
    if (ownState != NodeState.LEAVING) {
      selection.add(new Key(ownState, self), Optional.empty());
    }
    for (Peer peer : peers) {
      examined++;
      if (isCandidate(peer) && (includeSuspects || !peer.isSuspect())) {
        selection.add(Key.of(peer), Optional.of(peer));
      }
    }
    return selection.choice();
  }

  private static boolean isCandidate(Peer peer) {
    return !peer.unresponsive && peer.hasReported() && peer.state != NodeState.LEAVING;
  }

  /** Selects the first two of a sequence of nodes. */
  private static final class Selection {
    private final Key[] keys = new Key[MAX_COORDINATORS];
    private final Coordinator[] nodes = new Coordinator[MAX_COORDINATORS];
    private int count;

    void add(Key key, Optional<Peer> peer) {
      int at = count;
      while (at > 0 && key.compareTo(keys[at - 1]) < 0) {
        at--;
      }
      if (at == MAX_COORDINATORS) {
        return;
      }
      count = Math.min(count + 1, MAX_COORDINATORS);
      for (int i = count - 1; i > at; i--) {
        keys[i] = keys[i - 1];
        nodes[i] = nodes[i - 1];
      }
      keys[at] = key;
      nodes[at] = new Coordinator(key.name(), peer);
    }

    Choice choice() {
      ImmutableList.Builder<Coordinator> selected = ImmutableList.builder();
      for (int i = 0; i < count; i++) {
        selected.add(nodes[i]);
      }
      return new Choice(
          selected.build(),
          count == MAX_COORDINATORS ? Optional.of(keys[count - 1]) : Optional.empty());
    }
  }
}
