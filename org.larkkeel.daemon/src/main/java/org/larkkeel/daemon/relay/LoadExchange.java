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
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.larkkeel.http.relay.RelayLoop;
import org.larkkeel.lib.UpstreamLife;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RelayEvent;
import org.larkkeel.relay.RelayRouter;
import org.larkkeel.relay.RoomAsk;
import org.larkkeel.relay.Suspect;
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
 * Carries what nodes tell each other, as datagrams; {@link LoadSharing} says what.
 *
 * <p>{@link #meet}, {@link #leave}, {@link #live} and {@link #rank} are safe for use by several
 * threads; the rest is used on the I/O thread.
 */
final class LoadExchange implements AutoCloseable {
  private static final Logger log = LoggerFactory.getLogger(LoadExchange.class);
  private static final int RECEIVE_BYTES = 1 << 16;

  private final RelayLoop loop;
  private final XnioIoThread thread;
  private final MulticastMessageChannel channel;
  private final XnioExecutor.Key period;
  private final LoadSharing sharing;
  private final ByteBuffer received = ByteBuffer.allocate(RECEIVE_BYTES);
  private long suspended;
  private volatile int rank;
  private volatile List<InetSocketAddress> live = List.of();

  /** The socket, the loop and its clock. */
  private final class Around implements LoadSharing.Surroundings {
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
    public long now() {
      return loop.now();
    }
  }

  LoadExchange(RelayNodeSettings settings, XnioWorker worker, RelayLoop loop) {
    this.loop = loop;
    this.thread = worker.getIoThread();
    InetSocketAddress bind = settings.peer();
    try {
      channel = worker.createUdpServer(bind, OptionMap.EMPTY);
    } catch (IOException e) {
      throw new UncheckedIOException("the peers' address " + bind + " can not be bound", e);
    }
    sharing =
        new LoadSharing(settings.host(), settings.place(), settings.keeperFrom(), new Around());
    channel.getReadSetter().set(c -> receive());
    channel.resumeReads();
    period =
        thread.executeAtInterval(this::periodic, LoadSharing.PERIOD_NANOS, TimeUnit.NANOSECONDS);
  }

  /** Sets where what the store says comes from and where others' word of it goes; before use. */
  void changes(Supplier<FeedChanges> own, Consumer<FeedChanges> heard) {
    thread.execute(() -> sharing.changes(own, heard));
  }

  /** Notes a node that is registered. */
  void meet(InetSocketAddress peer) {
    thread.execute(() -> sharing.meet(peer));
  }

  /** The node stops. */
  void leave() {
    thread.execute(sharing::leave);
  }

  /** The nodes that are heard of. */
  List<InetSocketAddress> live() {
    return live;
  }

  /** How many nodes that are heard of come before this one by name. */
  int rank() {
    return rank;
  }

  /** Tells what is in flight and asked for now, at once or a little later. */
  void tell(
      ImmutableMap<UpstreamLife, Long> loads,
      ImmutableSet<UpstreamLife> lost,
      ImmutableList<RoomAsk> asks) {
    sharing.tell(loads, lost, asks);
  }

  /** Room was given to a call of another node. */
  void grant(RelayEffect.GrantRoom grant) {
    sharing.grant(grant);
  }

  /** Sets where what this node knows of requests under which upstreams ended comes from. */
  void suspects(Supplier<ImmutableList<Suspect>> known) {
    sharing.suspects(known);
  }

  /** Sets whose quotas of workspaces are shared with the other nodes. */
  void quotas(RelayRouter router) {
    sharing.quotas(router);
  }

  /** Tells all nodes what this one has found out of a request. */
  void tellSuspect(RelayEffect.TellSuspect news) {
    sharing.tellSuspect(news);
  }

  private void periodic() {
    BootClock.SYSTEM.check();
    long now = BootClock.SYSTEM.suspendedNanos();
    if (now > suspended) {
      suspended = now;
      loop.submit(new RelayEvent.Ticked(loop.now()));
      sharing.resumed();
    }
    sharing.periodic();
    live = sharing.live();
    rank = sharing.rank();
  }

  private void receive() {
    SocketAddressBuffer from = new SocketAddressBuffer();
    try {
      received.clear();
      while (channel.receiveFrom(from, received) > 0) {
        received.flip();
        byte[] bytes = new byte[received.remaining()];
        received.get(bytes);
        InetSocketAddress source = from.getSourceAddress(InetSocketAddress.class);
        if (source != null) {
          sharing.heard(source, bytes);
        }
        received.clear();
      }
    } catch (IOException e) {
      log.debug("event=load_not_heard cause=\"{}\"", e.getMessage());
    }
  }

  @Override
  public void close() {
    period.remove();
    IoUtils.safeClose(channel);
  }
}
