/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import com.google.common.collect.Comparators;
import com.google.common.collect.ImmutableList;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToLongFunction;
import org.larkkeel.lib.HostName;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The known peers of this node: which are live, and which coordinate reservations.
 *
 * <p>All nodes order the candidates in the same way, so nodes that know the same peers choose the
 * same coordinator. Where their views differ, two nodes may act as coordinator for a while; this
 * reduces goodput but violates no invariant.
 *
 * <p>The work for a message does not depend on the number of peers: a peer is found by its address
 * or name in a map, and compared with the {@link Coordinators} that were chosen last. All peers are
 * examined only if that comparison shows that the choice may be different. Not thread-safe.
 */
final class PeerTable {
  private static final Logger log = LoggerFactory.getLogger(PeerTable.class);
  private static final long REMOVE_AFTER_NANOS = 60_000_000_000L;

  private final HostName self;
  private final Map<InetSocketAddress, Peer> peers = new HashMap<>();

  /** The peers that have reported, by the names that they reported last. */
  private final Map<HostName, Peer> byName = new HashMap<>();

  private final Coordinators coordinators;
  private boolean listed;
  private final PeerChangeLog changeLog = new PeerChangeLog();
  private Optional<ImmutableList<InetSocketAddress>> liveAddresses = Optional.empty();

  /** A peer, known by its address. */
  static final class Peer {
    final InetSocketAddress address;
    HostName name;
    NodeState state = NodeState.STEADY;
    final AnswerTime answerTime = new AnswerTime();
    long lastReceivedNanos;
    boolean unresponsive;

    /** Whether this node has announced itself to the peer. */
    boolean announced;

    private boolean reported;
    private boolean expected;
    private boolean suspect;

    Peer(InetSocketAddress address, long nowNanos) {
      this.address = address;
      this.lastReceivedNanos = nowNanos;
    }

    /** Returns whether a message was ever received from the peer. */
    boolean hasReported() {
      return reported;
    }

    /**
     * Returns whether the name of the peer is known, because it has reported or because it is
     * registered and too new to have been expected to report.
     */
    boolean isNamed() {
      return reported || expected;
    }

    boolean isSuspect() {
      return suspect;
    }
  }

  /**
   * A reservation coordinator or its standby.
   *
   * @param name the name of the node
   * @param peer the peer; empty if the coordinator is this node
   */
  record Coordinator(HostName name, Optional<Peer> peer) {}

  PeerTable(HostName self) {
    this.self = self;
    this.coordinators = new Coordinators(self, peers.values());
  }

  /** Returns the name of this node. */
  HostName self() {
    return self;
  }

  int size() {
    return peers.size();
  }

  Collection<Peer> all() {
    return peers.values();
  }

  /** Returns at most {@code maxCount} live peers in round-robin order, starting at {@code turn}. */
  ImmutableList<Peer> nextPeers(int turn, int maxCount) {
    List<Peer> live = peers.values().stream().filter(p -> !p.unresponsive).toList();
    ImmutableList.Builder<Peer> selected = ImmutableList.builder();
    for (int i = 0; i < Math.min(maxCount, live.size()); i++) {
      selected.add(live.get(Math.floorMod(turn + i, live.size())));
    }
    return selected.build();
  }

  /** Returns the {@code maxCount} live peers of known name that have the lowest ranks. */
  List<Peer> lowestRanked(int maxCount, ToLongFunction<Peer> rank) {
    return least(maxCount, Comparator.comparingLong(rank));
  }

  /** Returns the first {@code maxCount} live peers of known name by their names. */
  List<Peer> firstNamed(int maxCount) {
    return least(maxCount, Comparator.comparing(p -> p.name));
  }

  private List<Peer> least(int maxCount, Comparator<Peer> order) {
    return peers.values().stream()
        .filter(p -> !p.unresponsive && p.isNamed())
        .collect(Comparators.least(maxCount, order));
  }

  /** Returns the number of live peers. */
  int liveCount() {
    return (int) peers.values().stream().filter(p -> !p.unresponsive).count();
  }

  /**
   * Returns whether a number of nodes is more than half of all, this node included. Those that are
   * silent count until they are forgotten. Before the list of all nodes has been read, a node that
   * has met no other is no majority.
   */
  boolean isMajority(int nodes) {
    return listed && 2 * nodes > peers.size() + 1;
  }

  /** Records that the list of all nodes has been read. */
  void setListed() {
    listed = true;
  }

  /** Returns the live peers that have not reported. */
  List<Peer> unheard() {
    return peers.values().stream().filter(p -> !p.unresponsive && !p.reported).toList();
  }

  /**
   * Returns the peers to which this node has not announced itself, and those that have not reported
   * and whose names are unknown.
   */
  List<Peer> unannounced() {
    return peers.values().stream().filter(p -> !p.announced || !p.isNamed()).toList();
  }

  /** Returns the peer that reported a name. */
  Optional<Peer> find(HostName name) {
    return Optional.ofNullable(byName.get(name));
  }

  /** Returns the peer at an address and adds it if it is unknown. */
  Peer getOrAdd(InetSocketAddress address, long nowNanos) {
    Peer known = peers.get(address);
    if (known != null) {
      return known;
    }
    Peer added = new Peer(address, nowNanos);
    peers.put(address, added);
    liveAddresses = Optional.empty();
    changeLog.add(PeerChangeLog.Change.MET, address);
    return added;
  }

  /**
   * Sets the name under which a peer is registered. Until the peer has reported or a period for
   * reports has passed, it counts as a live node of this name, but not as a candidate for
   * coordinator.
   */
  void registered(Peer peer, HostName name) {
    if (!peer.reported) {
      peer.name = name;
      peer.expected = true;
    }
  }

  /**
   * Records that a message was received from a peer; the peer is no longer unresponsive or suspect.
   */
  void received(Peer peer, PeerMessage.Sender sender, long nowNanos) {
    peer.lastReceivedNanos = nowNanos;
    if (peer.reported
        && !peer.suspect
        && !peer.unresponsive
        && peer.state == sender.state()
        && peer.name.equals(sender.node())) {
      return;
    }
    if (peer.reported && !peer.name.equals(sender.node())) {
      byName.remove(peer.name, peer);
    }
    peer.name = sender.node();
    peer.state = sender.state();
    peer.suspect = false;
    peer.reported = true;
    byName.put(peer.name, peer);
    if (peer.unresponsive) {
      peer.unresponsive = false;
      liveAddresses = Optional.empty();
      changeLog.add(PeerChangeLog.Change.HEARD_AGAIN, peer.address);
    }
    coordinators.changed(peer);
  }

  /**
   * Restarts the inactivity period of all peers, because this node could not receive any messages.
   */
  void resetInactivity(long nowNanos) {
    peers.values().forEach(p -> p.lastReceivedNanos = nowNanos);
  }

  /**
   * Marks peers as unresponsive after the inactivity timeout and removes those that have been
   * inactive for longer still. Logs the changes since the last call.
   *
   * @param expectedNanos the time in which a live peer reports, if no message is lost
   */
  void checkInactivity(long nowNanos, long inactivityNanos, long expectedNanos) {
    for (Iterator<Peer> i = peers.values().iterator(); i.hasNext(); ) {
      Peer peer = i.next();
      long inactiveNanos = nowNanos - peer.lastReceivedNanos;
      peer.expected &= inactiveNanos <= expectedNanos;
      if (inactiveNanos > Math.max(REMOVE_AFTER_NANOS, 2 * inactivityNanos)) {
        i.remove();
        byName.remove(peer.name, peer);
        becameInactive(peer, PeerChangeLog.Change.FORGOTTEN);
      } else if (inactiveNanos > inactivityNanos && !peer.unresponsive) {
        peer.unresponsive = true;
        becameInactive(peer, PeerChangeLog.Change.SILENT);
      }
    }
    changeLog.write(peers.size());
  }

  private void becameInactive(Peer peer, PeerChangeLog.Change change) {
    liveAddresses = Optional.empty();
    coordinators.changed(peer);
    changeLog.add(change, peer.address);
  }

  /**
   * Suspects a peer that did not answer in time: it is not chosen as coordinator until a message
   * from it is received.
   */
  void suspect(Peer peer) {
    peer.suspect = true;
    coordinators.changed(peer);
  }

  /** Returns the addresses of the live peers. */
  ImmutableList<InetSocketAddress> liveAddresses() {
    if (liveAddresses.isEmpty()) {
      ImmutableList.Builder<InetSocketAddress> live = ImmutableList.builder();
      for (Peer p : peers.values()) {
        if (!p.unresponsive) {
          live.add(p.address);
        }
      }
      liveAddresses = Optional.of(live.build());
    }
    return liveAddresses.get();
  }

  /** Returns the addresses of the live peers that have reported and are not stopping. */
  ImmutableList<InetSocketAddress> tunnelPeers() {
    ImmutableList.Builder<InetSocketAddress> offering = ImmutableList.builder();
    for (Peer p : peers.values()) {
      if (!p.unresponsive && p.reported && p.state != NodeState.LEAVING) {
        offering.add(p.address);
      }
    }
    return offering.build();
  }

  /** Returns the number of live peers whose names sort before that of this node. */
  int rank() {
    int rank = 0;
    for (Peer p : peers.values()) {
      if (!p.unresponsive && p.isNamed() && p.name.compareTo(self) < 0) {
        rank++;
      }
    }
    return rank;
  }

  /**
   * Returns the coordinator and its standby, the coordinator first. Nodes that are stopping are
   * left out; newly started nodes sort last.
   *
   * @param ownState the state of this node
   */
  ImmutableList<Coordinator> coordinators(NodeState ownState) {
    return coordinators.trusted(ownState);
  }

  /**
   * Returns what {@link #coordinators} would return if no peer were suspect.
   *
   * @param ownState the state of this node
   */
  ImmutableList<Coordinator> coordinatorsWithSuspects(NodeState ownState) {
    return coordinators.withSuspects(ownState);
  }

  /**
   * Returns whether this node is the coordinator or its standby, or would be if no peer were
   * suspect.
   *
   * @param ownState the state of this node
   */
  boolean coordinates(NodeState ownState) {
    return coordinators.trusted(ownState).stream().anyMatch(c -> c.peer().isEmpty())
        || coordinators.withSuspects(ownState).stream().anyMatch(c -> c.peer().isEmpty());
  }

  /** Returns how many peers were examined so far to choose coordinators. */
  long examinedCandidates() {
    return coordinators.examined();
  }
}
