/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Lists;
import com.google.common.collect.Maps;
import com.google.common.hash.Hashing;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.larkkeel.lib.Fingerprint;
import org.larkkeel.lib.HostName;
import org.larkkeel.relay.CrashSuspect;

/**
 * Shares the suspects of crashes, which were in progress at the upstreams, with the peers.
 *
 * <p>In a small cluster each node reports its own findings to all peers at once. In a large cluster
 * most calls that were in progress at a crash never come again, and reporting each to all would
 * cost a number of messages that grows with the square of the nodes. There, findings go to a few
 * collector nodes, chosen by a hash of the suspect; a collector reports a suspect to all once it
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

  /** The number of collectors of a suspect in a large cluster. */
  private static final int COLLECTORS = 3;

  /** The number of periods between two rounds of gossip. */
  private static final int GOSSIP_PERIODS = 3;

  private static final int PEERS_PER_GOSSIP = 3;

  /**
   * The maximum number of suspects in a message; they fit a datagram with the maximum number of
   * crashes each.
   */
  private static final int MAX_IN_MESSAGE = 60;

  private static final int MAX_REMEMBERED = 1_024;

  private final HostName self;
  private final PeerTable peers;
  private final LoadSharing.Environment environment;
  private final BiConsumer<PeerTable.Peer, ImmutableList<CrashSuspect>> sender;
  private final Map<Fingerprint, Extent> reportedToAll = new HashMap<>();
  private Supplier<ImmutableList<CrashSuspect>> knownSuspects = ImmutableList::of;
  private int periods;
  private int nextPeer;

  /**
   * The amount of knowledge about a suspect: its clearance epoch and the number of crashes in it.
   */
  private record Extent(int clearanceEpoch, int crashes) {
    static Extent of(CrashSuspect s) {
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
      BiConsumer<PeerTable.Peer, ImmutableList<CrashSuspect>> sender) {
    this.self = self;
    this.peers = peers;
    this.environment = environment;
    this.sender = sender;
    this.nextPeer = Math.floorMod(self.hashCode(), Short.MAX_VALUE);
  }

  /** Sets the source of all known suspects. */
  void knownSuspects(Supplier<ImmutableList<CrashSuspect>> supplier) {
    knownSuspects = supplier;
  }

  /** Reports findings of this node to the peers. */
  void report(ImmutableList<CrashSuspect> news) {
    if (peers.size() <= MAX_PEERS_FOR_BROADCAST) {
      broadcast(news);
      return;
    }
    Map<Boolean, List<CrashSuspect>> byNeed =
        news.stream().collect(Collectors.partitioningBy(this::needsBroadcast));
    broadcast(byNeed.get(true));
    collect(byNeed.get(false));
  }

  /**
   * Handles suspects received from a peer, after the router has merged them. A peer that does not
   * know of a clearance is told. If more is known here of a suspect than the peer reported, crashes
   * from several nodes have been merged here, and a collector reports the suspect to all.
   */
  void received(PeerTable.Peer from, ImmutableList<CrashSuspect> suspects) {
    List<CrashSuspect> cleared = new ArrayList<>();
    List<CrashSuspect> collected = new ArrayList<>();
    Map<Fingerprint, CrashSuspect> known = known();
    for (CrashSuspect fromPeer : suspects) {
      CrashSuspect s = known.get(fromPeer.id());
      if (s == null || Extent.of(s).equals(Extent.of(fromPeer))) {
        continue;
      }
      if (s.clearanceEpoch() > fromPeer.clearanceEpoch()) {
        cleared.add(s);
      }
      if (peers.size() > MAX_PEERS_FOR_BROADCAST && isCollector(s.id()) && needsBroadcast(s)) {
        collected.add(s);
      }
    }
    send(from, cleared);
    broadcast(collected);
  }

  /**
   * Returns whether a suspect must be reported to all peers: it has several crashes or was reported
   * to all before, and its state has changed since.
   */
  private boolean needsBroadcast(CrashSuspect s) {
    Extent previous = reportedToAll.get(s.id());
    return !Extent.of(s).equals(previous) && (s.crashes().size() > 1 || previous != null);
  }

  private void broadcast(List<CrashSuspect> suspects) {
    if (suspects.isEmpty()) {
      return;
    }
    if (reportedToAll.size() >= MAX_REMEMBERED) {
      reportedToAll.clear();
    }
    suspects.forEach(s -> reportedToAll.put(s.id(), Extent.of(s)));
    sendNowAndLater(suspects, now -> peers.all().forEach(p -> send(p, now)));
  }

  /** Sends each suspect to its collectors. */
  private void collect(List<CrashSuspect> suspects) {
    if (!suspects.isEmpty()) {
      sendNowAndLater(suspects, this::sendToCollectors);
    }
  }

  private void sendToCollectors(List<CrashSuspect> suspects) {
    Map<PeerTable.Peer, List<CrashSuspect>> byPeer = new LinkedHashMap<>();
    for (CrashSuspect s : suspects) {
      for (PeerTable.Peer p : collectors(s.id())) {
        byPeer.computeIfAbsent(p, x -> new ArrayList<>()).add(s);
      }
    }
    byPeer.forEach(this::send);
  }

  private void sendNowAndLater(List<CrashSuspect> suspects, Consumer<List<CrashSuspect>> send) {
    send.accept(suspects);
    List<Fingerprint> ids = suspects.stream().map(CrashSuspect::id).toList();
    for (long nanos : RESEND_DELAYS_NANOS) {
      environment.after(
          nanos,
          () -> {
            Map<Fingerprint, CrashSuspect> known = known();
            send.accept(ids.stream().map(known::get).filter(Objects::nonNull).toList());
          });
    }
  }

  private void send(PeerTable.Peer peer, List<CrashSuspect> suspects) {
    for (List<CrashSuspect> part : Lists.partition(suspects, MAX_IN_MESSAGE)) {
      sender.accept(peer, ImmutableList.copyOf(part));
    }
  }

  private Map<Fingerprint, CrashSuspect> known() {
    return Maps.uniqueIndex(knownSuspects.get(), CrashSuspect::id);
  }

  /** Returns the peers that collect the crashes of a suspect. */
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
    send(peer, knownSuspects.get());
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
