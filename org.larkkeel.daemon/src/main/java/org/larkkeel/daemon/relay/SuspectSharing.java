/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Lists;
import com.google.common.hash.Hashing;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.larkkeel.lib.Fingerprint;
import org.larkkeel.lib.HostName;
import org.larkkeel.relay.SuspectRequest;

/**
 * Shares suspect requests, which were in progress at upstreams that crashed, with the peers.
 *
 * <p>In a small cluster each node reports its own findings to all peers at once. In a large cluster
 * most calls that were in progress at a crash never come again, and reporting each to all would
 * cost a number of messages that grows with the square of the nodes. There, findings go to a few
 * collector nodes, chosen by a hash of the request; a collector reports a request to all once it
 * has merged several crashes of it. Immediate reports are repeated a little later in case a message
 * is lost. In addition, all known suspects are gossiped to a few peers in turn, so that nodes that
 * were partitioned, suspended or started since receive them as well. Not thread-safe.
 */
final class SuspectSharing {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long[] RESEND_DELAYS_NANOS = {
    300 * NANOS_PER_MILLI, 1_000 * NANOS_PER_MILLI
  };

  /** The maximum number of peers with which every crash is reported to all. */
  private static final int MAX_PEERS_FOR_BROADCAST = 16;

  /** The number of collectors of a request in a large cluster. */
  private static final int COLLECTORS = 3;

  /** The number of periods between two rounds of gossip. */
  private static final int GOSSIP_PERIODS = 3;

  private static final int PEERS_PER_GOSSIP = 3;

  /**
   * The maximum number of suspects in a message; they fit a datagram with the maximum number of
   * crashes each.
   */
  private static final int MAX_IN_MESSAGE = 100;

  private static final int MAX_REMEMBERED = 1_024;

  private final HostName self;
  private final PeerTable peers;
  private final LoadSharing.Environment environment;
  private final BiConsumer<PeerTable.Peer, ImmutableList<SuspectRequest>> sender;
  private final Map<Fingerprint, Extent> reportedToAll = new HashMap<>();
  private Supplier<ImmutableList<SuspectRequest>> knownSuspects = ImmutableList::of;
  private int periods;
  private int nextPeer;

  /**
   * The amount of knowledge about a request: its clearance epoch and the number of crashes in it.
   */
  private record Extent(int clearanceEpoch, int crashes) {
    static Extent of(SuspectRequest s) {
      return new Extent(s.clearanceEpoch(), s.crashes().size());
    }
  }

  /**
   * Creates an instance that knows no suspects.
   *
   * @param self the name of this node, which determines where its gossip starts
   * @param peers the peers
   * @param environment the callbacks into the owner
   * @param sender sends suspects to a peer
   */
  SuspectSharing(
      HostName self,
      PeerTable peers,
      LoadSharing.Environment environment,
      BiConsumer<PeerTable.Peer, ImmutableList<SuspectRequest>> sender) {
    this.self = self;
    this.peers = peers;
    this.environment = environment;
    this.sender = sender;
    this.nextPeer = Math.floorMod(self.hashCode(), Short.MAX_VALUE);
  }

  /** Sets the source of all known suspects. */
  void knownSuspects(Supplier<ImmutableList<SuspectRequest>> supplier) {
    knownSuspects = supplier;
  }

  /** Reports a finding of this node to the peers. */
  void report(SuspectRequest suspect) {
    if (peers.size() <= MAX_PEERS_FOR_BROADCAST || needsBroadcast(suspect)) {
      broadcast(suspect);
    } else {
      collectors(suspect.request()).forEach(p -> sendTo(p, suspect));
      scheduleResends(suspect, now -> collectors(now.request()).forEach(p -> sendTo(p, now)));
    }
  }

  /**
   * Handles suspects received from a peer, after the router has merged them. If more is known here
   * of a request than the peer reported, crashes from several nodes have been merged here, and a
   * collector reports the request to all.
   */
  void received(ImmutableList<SuspectRequest> suspects) {
    if (peers.size() <= MAX_PEERS_FOR_BROADCAST) {
      return;
    }
    for (SuspectRequest fromPeer : suspects) {
      find(fromPeer.request())
          .filter(s -> !Extent.of(s).equals(Extent.of(fromPeer)))
          .filter(s -> isCollector(s.request()) && needsBroadcast(s))
          .ifPresent(this::broadcast);
    }
  }

  /**
   * Returns whether a request must be reported to all peers: it has several crashes or was reported
   * to all before, and its state has changed since.
   */
  private boolean needsBroadcast(SuspectRequest s) {
    Extent previous = reportedToAll.get(s.request());
    return !Extent.of(s).equals(previous) && (s.crashes().size() > 1 || previous != null);
  }

  private void broadcast(SuspectRequest suspect) {
    if (reportedToAll.size() >= MAX_REMEMBERED) {
      reportedToAll.clear();
    }
    reportedToAll.put(suspect.request(), Extent.of(suspect));
    peers.all().forEach(p -> sendTo(p, suspect));
    scheduleResends(suspect, now -> peers.all().forEach(p -> sendTo(p, now)));
  }

  private void sendTo(PeerTable.Peer peer, SuspectRequest suspect) {
    sender.accept(peer, ImmutableList.of(suspect));
  }

  private void scheduleResends(SuspectRequest suspect, Consumer<SuspectRequest> resend) {
    for (long nanos : RESEND_DELAYS_NANOS) {
      environment.after(nanos, () -> find(suspect.request()).ifPresent(resend));
    }
  }

  private Optional<SuspectRequest> find(Fingerprint request) {
    return knownSuspects.get().stream().filter(s -> s.request().equals(request)).findFirst();
  }

  /** Returns the peers that collect the crashes of a request. */
  private List<PeerTable.Peer> collectors(Fingerprint request) {
    return peers.lowestRanked(COLLECTORS, p -> rank(p.name, request));
  }

  private boolean isCollector(Fingerprint request) {
    long ownRank = rank(self, request);
    return collectors(request).stream().filter(p -> rank(p.name, request) < ownRank).count()
        < COLLECTORS;
  }

  private static long rank(HostName node, Fingerprint request) {
    return Hashing.murmur3_128().hashUnencodedChars(node.value()).asLong() * (request.low() | 1);
  }

  /** Sends all known suspects to a peer. */
  void sendAllTo(PeerTable.Peer peer) {
    for (var part : Lists.partition(knownSuspects.get(), MAX_IN_MESSAGE)) {
      sender.accept(peer, ImmutableList.copyOf(part));
    }
  }

  /** Gossips the known suspects; to be called every {@link LoadSharing#PERIOD_NANOS}. */
  void periodic() {
    if (++periods % GOSSIP_PERIODS != 0 || knownSuspects.get().isEmpty()) {
      return;
    }
    for (PeerTable.Peer peer : peers.nextPeers(nextPeer, PEERS_PER_GOSSIP)) {
      sendAllTo(peer);
    }
    nextPeer += PEERS_PER_GOSSIP;
  }
}
