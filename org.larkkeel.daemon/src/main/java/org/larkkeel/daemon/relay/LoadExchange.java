/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.larkkeel.http.relay.RelayLoop;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.relay.CrashSuspect;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RelayEvent;
import org.larkkeel.relay.RelayFact;
import org.larkkeel.relay.RelayRouter;
import org.larkkeel.relay.ReservationRequest;
import org.larkkeel.relay.StreamBuild;
import org.larkkeel.time.BootClock;
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
 * Sends and receives the datagrams of {@link LoadSharing}.
 *
 * <p>{@link #addPeer}, {@link #addRegistered}, {@link #leave}, {@link #livePeers}, {@link
 * #tunnelPeers} and {@link #rank} are thread-safe; all else is used on the I/O thread only.
 */
final class LoadExchange implements AutoCloseable {
  private static final Logger log = LoggerFactory.getLogger(LoadExchange.class);
  private static final int RECEIVE_BYTES = 1 << 16;

  /**
   * The time for which messages are read before connections, timers and answers of the store have
   * their turn. Messages that remain are read in the next turn; those beyond the socket's buffer
   * are lost, and repeated by their senders.
   */
  private static final long MAX_TURN_NANOS = 20_000_000L;

  /**
   * The time without a period after which peers have replaced this node, and loads and requests
   * that it knows are outdated.
   */
  static final Duration MAX_GAP = Duration.ofMillis(1_500);

  /** The duration of a turn from which it is reported. */
  private static final long MIN_REPORTED_TURN_NANOS = 100_000_000L;

  private final RelayLoop loop;
  private final Consumer<RelayFact> facts;
  private final XnioIoThread thread;
  private final MulticastMessageChannel channel;
  private final XnioExecutor.Key period;
  private final LoadSharing sharing;
  private final ByteBuffer receiveBuffer = ByteBuffer.allocate(RECEIVE_BYTES);
  private final SocketAddressBuffer receivedFrom = new SocketAddressBuffer();
  private long suspendedNanos;
  private long lastPeriodNanos;
  private volatile int rank;
  private volatile List<InetSocketAddress> livePeers = List.of();
  private volatile List<InetSocketAddress> tunnelPeers = List.of();

  /** Connects {@link LoadSharing} to the socket and the event loop. */
  private final class NodeEnvironment implements LoadSharing.Environment {
    @Override
    public void send(InetSocketAddress to, byte[] message) {
      try {
        channel.sendTo(to, ByteBuffer.wrap(message));
      } catch (IOException e) {
        log.debug("event=load_not_told peer={} cause=\"{}\"", to, e.getMessage());
      }
    }

    @Override
    public void after(long nanos, Runnable action) {
      thread.executeAfter(action, nanos, TimeUnit.NANOSECONDS);
    }

    @Override
    public void submit(RelayEvent event) {
      loop.submit(event);
    }

    @Override
    public void report(RelayFact fact) {
      facts.accept(fact);
    }

    @Override
    public long now() {
      return loop.now();
    }
  }

  LoadExchange(
      RelayNodeSettings settings, XnioWorker worker, RelayLoop loop, Consumer<RelayFact> facts) {
    this.loop = loop;
    this.facts = facts;
    this.thread = worker.getIoThread();
    InetSocketAddress bind = settings.peer();
    try {
      channel = worker.createUdpServer(bind, OptionMap.EMPTY);
    } catch (IOException e) {
      throw new UncheckedIOException("peer address " + bind + " can not be bound", e);
    }
    sharing =
        new LoadSharing(
            settings.host(),
            settings.dataCentre(),
            settings.coordinatorFrom(),
            new NodeEnvironment());
    lastPeriodNanos = loop.now();
    channel.getReadSetter().set(c -> receive());
    channel.resumeReads();
    period =
        thread.executeAtInterval(this::periodic, LoadSharing.PERIOD_NANOS, TimeUnit.NANOSECONDS);
  }

  /**
   * Sets the source of this node's newest store versions and the listener for those of the peers;
   * to be called before use.
   */
  void storeVersions(Supplier<FeedChanges> ownVersions, Consumer<FeedChanges> listener) {
    thread.execute(() -> sharing.storeVersions(ownVersions, listener));
  }

  /** Adds a node of unknown name as a peer. */
  void addPeer(InetSocketAddress peer) {
    thread.execute(() -> sharing.addPeer(peer));
  }

  /** Adds registered nodes as peers. */
  void addRegistered(ImmutableList<RegisteredNode> nodes) {
    thread.execute(() -> sharing.addRegistered(nodes));
  }

  /** Announces that this node is stopping. */
  void leave() {
    thread.execute(sharing::leave);
  }

  /** Returns the addresses of the live peers. */
  List<InetSocketAddress> livePeers() {
    return livePeers;
  }

  /** Returns the addresses of the peers that may offer tunnels; thread-safe. */
  List<InetSocketAddress> tunnelPeers() {
    return tunnelPeers;
  }

  /** Returns the number of live peers whose names sort before that of this node. */
  int rank() {
    return rank;
  }

  /**
   * Updates and reports the load and the pending reservations of this node; see {@link
   * LoadSharing#update}.
   */
  void update(
      ImmutableMap<UpstreamIncarnation, Long> loads,
      ImmutableSet<UpstreamIncarnation> losingHandles,
      ImmutableList<ReservationRequest> requests) {
    sharing.update(loads, losingHandles, requests);
  }

  /** Adds the answer to a reservation request of another node. */
  void answer(RelayEffect.ReservationAnswer answer) {
    sharing.answer(answer);
  }

  /** Sets the source of the suspects of crashes that are known here. */
  void suspects(Supplier<ImmutableList<CrashSuspect>> known) {
    sharing.suspects(known);
  }

  /** Sets the router whose quotas and rate limits of upstreams are shared with the peers. */
  void quotas(RelayRouter router) {
    sharing.quotas(router);
  }

  /** Sets what writes the builds of streams to the store; to be called before use. */
  void streamStorage(Consumer<StreamBuild> writer) {
    thread.execute(() -> sharing.streamStorage(writer));
  }

  /** Records or finds the build of a stream at the peers. */
  void execute(RelayEffect.OfStream effect) {
    sharing.execute(effect);
  }

  /** Reports news of suspects of crashes to the peers. */
  void reportSuspects(RelayEffect.ReportSuspects news) {
    sharing.reportSuspects(news);
  }

  private void periodic() {
    BootClock.SYSTEM.check();
    long totalSuspendedNanos = BootClock.SYSTEM.suspendedNanos();
    boolean wasHeldUp = loop.now() - lastPeriodNanos > MAX_GAP.toNanos();
    lastPeriodNanos = loop.now();
    if (totalSuspendedNanos > suspendedNanos || wasHeldUp) {
      suspendedNanos = totalSuspendedNanos;
      loop.submit(new RelayEvent.Ticked(loop.now()));
      sharing.resumed();
    }
    sharing.periodic();
    livePeers = sharing.livePeers();
    tunnelPeers = sharing.tunnelPeers();
    rank = sharing.rank();
  }

  /** Reads messages for at most one turn; the channel stays readable while there are more. */
  private void receive() {
    final long begin = loop.now();
    int messages = 0;
    try {
      receiveBuffer.clear();
      while (loop.now() - begin < MAX_TURN_NANOS
          && channel.receiveFrom(receivedFrom, receiveBuffer) > 0) {
        InetSocketAddress source = receivedFrom.getSourceAddress(InetSocketAddress.class);
        messages++;
        if (source != null) {
          sharing.received(source, receiveBuffer.array(), receiveBuffer.position());
        }
        receiveBuffer.clear();
      }
    } catch (IOException e) {
      log.debug("event=load_not_heard cause=\"{}\"", e.getMessage());
    }
    sharing.submitReports();
    long nanos = loop.now() - begin;
    if (nanos > MIN_REPORTED_TURN_NANOS) {
      facts.accept(new RelayFact.MessagesHeldLoop(messages, nanos));
    }
  }

  @Override
  public void close() {
    period.remove();
    IoUtils.safeClose(channel);
  }
}
