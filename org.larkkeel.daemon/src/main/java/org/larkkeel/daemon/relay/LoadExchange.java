/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.larkkeel.http.relay.RelayLoop;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.relay.RelayEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.MulticastMessageChannel;
import org.xnio.channels.SocketAddressBuffer;

/**
 * Tells the other nodes what this one has in flight, by datagrams, and hears the same from them.
 *
 * <p>A node tells soon after a change and at times without one. Lost datagrams are made good by the
 * next. {@link #meet} is safe for use by several threads; the rest is used on the I/O thread.
 */
final class LoadExchange implements AutoCloseable {
  private static final Logger log = LoggerFactory.getLogger(LoadExchange.class);
  private static final long SOONEST_NANOS = 3_000_000L;

  /**
   * The least time between two messages for each node that gets them: what a node spends on telling
   * must not grow with the square of the fleet.
   */
  private static final long SOONEST_PER_PEER_NANOS = 500_000L;

  private static final long FEW = 100;
  private static final long LARGE_OF_FEW = 3;
  private static final long LARGE = 1_500;
  private static final long PERIOD_MILLIS = 400;
  private static final long FORGET_NANOS = 60_000_000_000L;
  private static final int RECEIVE_BYTES = 1 << 16;

  private final HostName self;
  private final RelayLoop loop;
  private final XnioIoThread thread;
  private final MulticastMessageChannel channel;
  private final XnioExecutor.Key period;
  private final ByteBuffer received = ByteBuffer.allocate(RECEIVE_BYTES);
  private final Map<InetSocketAddress, Peer> peers = new HashMap<>();
  private ImmutableMap<UpstreamName, Long> latest = ImmutableMap.of();
  private ImmutableMap<UpstreamName, Long> told = ImmutableMap.of();
  private ImmutableSet<UpstreamName> lapsing = ImmutableSet.of();
  private long toldAt;
  private boolean planned;
  private Supplier<FeedChanges> changes = () -> FeedChanges.NONE;
  private Consumer<FeedChanges> others = c -> {};
  private volatile int rank;
  private volatile List<InetSocketAddress> live = List.of();

  /** Another node. */
  private static final class Peer {
    private String name = "";
    private long heardAt;
    private boolean silent;
  }

  LoadExchange(HostName self, InetSocketAddress bind, XnioWorker worker, RelayLoop loop) {
    this.self = self;
    this.loop = loop;
    this.thread = worker.getIoThread();
    try {
      channel = worker.createUdpServer(bind, OptionMap.EMPTY);
    } catch (IOException e) {
      throw new UncheckedIOException("the peers' address " + bind + " can not be bound", e);
    }
    channel.getReadSetter().set(c -> receive());
    channel.resumeReads();
    period = thread.executeAtInterval(this::periodic, PERIOD_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Sets where what the store says comes from and where others' word of it goes; before use. */
  void changes(Supplier<FeedChanges> own, Consumer<FeedChanges> heard) {
    thread.execute(
        () -> {
          changes = own;
          others = heard;
        });
  }

  /** Notes a node that is registered. */
  void meet(InetSocketAddress peer) {
    thread.execute(() -> known(peer));
  }

  private Peer known(InetSocketAddress address) {
    return peers.computeIfAbsent(
        address,
        a -> {
          Peer p = new Peer();
          p.heardAt = loop.now();
          log.info("event=peer_met peer={} peers={}", a, peers.size() + 1);
          loop.submit(new RelayEvent.NodesCounted(loop.now(), peers.size() + 2));
          return p;
        });
  }

  /** The nodes that are heard of; safe for use by several threads. */
  List<InetSocketAddress> live() {
    return live;
  }

  /** How many nodes that are heard of come before this one by name; safe for several threads. */
  int rank() {
    return rank;
  }

  /** Tells what is in flight now, at once or a little later. */
  void tell(ImmutableMap<UpstreamName, Long> loads, ImmutableSet<UpstreamName> lost) {
    boolean news = !lapsing.containsAll(lost);
    latest = loads;
    lapsing = lost;
    if (planned || !(news || isWorthTelling())) {
      return;
    }
    long wait = toldAt + soonest() - loop.now();
    if (wait <= 0) {
      send();
    } else {
      planned = true;
      thread.executeAfter(this::sendPlanned, wait, TimeUnit.NANOSECONDS);
    }
  }

  private long soonest() {
    return Math.max(SOONEST_NANOS, peers.size() * SOONEST_PER_PEER_NANOS);
  }

  /** Whether so much has changed that the others should not wait for the next period. */
  private boolean isWorthTelling() {
    if (latest.equals(told)) {
      return false;
    }
    for (var e : latest.entrySet()) {
      if (isLarge(e.getValue(), told.getOrDefault(e.getKey(), 0L))) {
        return true;
      }
    }
    for (var e : told.entrySet()) {
      if (!latest.containsKey(e.getKey()) && isLarge(0, e.getValue())) {
        return true;
      }
    }
    return false;
  }

  private static boolean isLarge(long now, long before) {
    long change = Math.abs(now - before);
    boolean few = Math.max(now, before) < FEW;
    return change >= (few ? LARGE_OF_FEW : LARGE);
  }

  private void sendPlanned() {
    planned = false;
    send();
  }

  private void periodic() {
    long now = loop.now();
    for (Iterator<Map.Entry<InetSocketAddress, Peer>> i = peers.entrySet().iterator();
        i.hasNext(); ) {
      var e = i.next();
      long silence = now - e.getValue().heardAt;
      if (silence > FORGET_NANOS) {
        i.remove();
        log.info("event=peer_forgotten peer={} peers={}", e.getKey(), peers.size());
      } else if (silence > 4 * TimeUnit.MILLISECONDS.toNanos(PERIOD_MILLIS)
          && !e.getValue().silent) {
        e.getValue().silent = true;
        log.warn("event=peer_silent peer={}", e.getKey());
      }
    }
    live =
        peers.entrySet().stream().filter(e -> !e.getValue().silent).map(Map.Entry::getKey).toList();
    rank =
        (int)
            peers.values().stream()
                .filter(p -> !p.silent && !p.name.isEmpty())
                .filter(p -> p.name.compareTo(self.value()) < 0)
                .count();
    if (now - toldAt >= TimeUnit.MILLISECONDS.toNanos(PERIOD_MILLIS)) {
      send();
    }
  }

  private void send() {
    told = latest;
    toldAt = loop.now();
    byte[] bytes = new LoadMessage(self, latest, lapsing, changes.get()).toBytes();
    if (bytes.length > LoadMessage.MAX_BYTES) {
      return;
    }
    for (InetSocketAddress peer : peers.keySet()) {
      try {
        channel.sendTo(peer, ByteBuffer.wrap(bytes));
      } catch (IOException e) {
        log.debug("event=load_not_told peer={} cause=\"{}\"", peer, e.getMessage());
      }
    }
  }

  private void receive() {
    SocketAddressBuffer from = new SocketAddressBuffer();
    try {
      received.clear();
      while (channel.receiveFrom(from, received) > 0) {
        received.flip();
        byte[] bytes = new byte[received.remaining()];
        received.get(bytes);
        LoadMessage.fromBytes(bytes)
            .ifPresent(m -> heard(from.getSourceAddress(InetSocketAddress.class), m));
        received.clear();
      }
    } catch (IOException e) {
      log.debug("event=load_not_heard cause=\"{}\"", e.getMessage());
    }
  }

  private void heard(InetSocketAddress from, LoadMessage message) {
    if (from == null || message.node().equals(self)) {
      return;
    }
    Peer peer = known(from);
    peer.heardAt = loop.now();
    peer.name = message.node().value();
    if (peer.silent) {
      peer.silent = false;
      log.info("event=peer_heard_again peer={}", from);
    }
    others.accept(message.changes());
    loop.submit(
        new RelayEvent.LoadHeard(loop.now(), message.node(), message.loads(), message.lapsing()));
  }

  @Override
  public void close() {
    period.remove();
    IoUtils.safeClose(channel);
  }
}
