/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import com.google.common.collect.Comparators;
import com.google.common.collect.ImmutableList;
import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.ToLongFunction;
import java.util.stream.Stream;
import org.larkkeel.lib.HostName;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The known peers of this node: which are live, and which coordinate reservations.
 *
 * <p>All nodes order the candidates in the same way, so nodes that know the same peers choose the
 * same coordinator. Where their views differ, two nodes may act as coordinator for a while; this
 * reduces goodput but violates no invariant. Not thread-safe.
 */
final class PeerTable {
  private static final Logger log = LoggerFactory.getLogger(PeerTable.class);
  private static final long REMOVE_AFTER_NANOS = 60_000_000_000L;

  private final HostName self;
  private final Map<InetSocketAddress, Peer> peers = new HashMap<>();

  /** A peer, known by its address. */
  static final class Peer {
    final InetSocketAddress address;
    HostName name;
    NodeState state = NodeState.STEADY;
    long lastReceivedNanos;
    boolean unresponsive;
    private boolean suspect;

    Peer(InetSocketAddress address, long nowNanos) {
      this.address = address;
      this.lastReceivedNanos = nowNanos;
    }

    /** Returns whether a message was ever received from the peer; only then is its name known. */
    boolean hasReported() {
      return name != null;
    }
  }

  /**
   * A reservation coordinator or its standby.
   *
   * @param name the name of the node
   * @param peer the peer; empty if the coordinator is this node
   */
  record Coordinator(HostName name, Optional<Peer> peer) {}

  private record Candidate(Coordinator coordinator, NodeState state) {}

  private static final Comparator<Candidate> COORDINATOR_ORDER =
      Comparator.comparing(Candidate::state).thenComparing(c -> c.coordinator().name().value());

  PeerTable(HostName self) {
    this.self = self;
  }

  int size() {
    return peers.size();
  }

  Iterable<Peer> all() {
    return peers.values();
  }

  /** Returns at most {@code maxCount} live peers in round-robin order, starting at {@code turn}. */
  ImmutableList<Peer> nextPeers(int turn, int maxCount) {
    List<Peer> live = livePeers().toList();
    ImmutableList.Builder<Peer> selected = ImmutableList.builder();
    for (int i = 0; i < Math.min(maxCount, live.size()); i++) {
      selected.add(live.get(Math.floorMod(turn + i, live.size())));
    }
    return selected.build();
  }

  /** Returns the {@code maxCount} live peers of known name that have the lowest ranks. */
  List<Peer> lowestRanked(int maxCount, ToLongFunction<Peer> rank) {
    return livePeers()
        .filter(Peer::hasReported)
        .collect(Comparators.least(maxCount, Comparator.comparingLong(rank)));
  }

  Optional<Peer> find(HostName name) {
    return peers.values().stream().filter(p -> name.equals(p.name)).findFirst();
  }

  /** Returns the peer at an address and adds it if it is unknown. */
  Peer getOrAdd(InetSocketAddress address, long nowNanos) {
    return peers.computeIfAbsent(
        address,
        a -> {
          log.info("event=peer_met peer={} peers={}", a, peers.size() + 1);
          return new Peer(a, nowNanos);
        });
  }

  /**
   * Records that a message was received from a peer; the peer is no longer unresponsive or suspect.
   */
  void received(Peer peer, PeerMessage.Sender sender, long nowNanos) {
    peer.lastReceivedNanos = nowNanos;
    peer.name = sender.node();
    peer.state = sender.state();
    peer.suspect = false;
    if (peer.unresponsive) {
      peer.unresponsive = false;
      log.info("event=peer_heard_again peer={}", peer.address);
    }
  }

  /**
   * Restarts the inactivity period of all peers, because this node could not receive any messages.
   */
  void resetInactivity(long nowNanos) {
    peers.values().forEach(p -> p.lastReceivedNanos = nowNanos);
  }

  /**
   * Marks peers as unresponsive after the inactivity timeout and removes those that have been
   * inactive for longer still.
   */
  void checkInactivity(long nowNanos, long inactivityNanos) {
    for (Iterator<Peer> i = peers.values().iterator(); i.hasNext(); ) {
      Peer peer = i.next();
      long inactiveNanos = nowNanos - peer.lastReceivedNanos;
      if (inactiveNanos > Math.max(REMOVE_AFTER_NANOS, 2 * inactivityNanos)) {
        i.remove();
        log.info("event=peer_forgotten peer={} peers={}", peer.address, peers.size());
      } else if (inactiveNanos > inactivityNanos && !peer.unresponsive) {
        peer.unresponsive = true;
        log.warn("event=peer_silent peer={}", peer.address);
      }
    }
  }

  /**
   * Suspects a peer that did not answer in time: it is not chosen as coordinator until a message
   * from it is received.
   */
  void suspect(Peer peer, String cause) {
    peer.suspect = true;
    log.warn("event=keeper_suspected peer={} cause={}", peer.address, cause);
  }

  /** Returns the addresses of the live peers. */
  ImmutableList<InetSocketAddress> liveAddresses() {
    return livePeers().map(p -> p.address).collect(ImmutableList.toImmutableList());
  }

  private Stream<Peer> livePeers() {
    return peers.values().stream().filter(p -> !p.unresponsive);
  }

  /** Returns the number of live peers whose names sort before that of this node. */
  int rank() {
    return (int)
        livePeers()
            .map(p -> p.name)
            .filter(Objects::nonNull)
            .filter(n -> n.value().compareTo(self.value()) < 0)
            .count();
  }

  /**
   * Returns the coordinator and its standbys, the coordinator first. Nodes that are stopping are
   * left out; newly started nodes sort last.
   *
   * @param ownState the state of this node
   * @param maxCount the maximum number of nodes to return
   * @param includeSuspects true to include suspect peers
   */
  ImmutableList<Coordinator> coordinators(
      NodeState ownState, int maxCount, boolean includeSuspects) {
    Stream<Candidate> others =
        livePeers()
            .filter(p -> p.hasReported() && (includeSuspects || !p.suspect))
            .map(p -> new Candidate(new Coordinator(p.name, Optional.of(p)), p.state));
    return Stream.concat(
            others, Stream.of(new Candidate(new Coordinator(self, Optional.empty()), ownState)))
        .filter(c -> c.state() != NodeState.LEAVING)
        .collect(Comparators.least(maxCount, COORDINATOR_ORDER))
        .stream()
        .map(Candidate::coordinator)
        .collect(ImmutableList.toImmutableList());
  }
}
