/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.tunnel;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.Protocols;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.larkkeel.http.HttpConnector;
import org.larkkeel.http.HttpWorker;
import org.larkkeel.http.upstream.ConnectFailure;
import org.larkkeel.http.upstream.Destination;
import org.larkkeel.http.upstream.TunnelOpener;
import org.larkkeel.http.upstream.UpstreamAddress;
import org.larkkeel.http.upstream.UpstreamClientSettings;
import org.xnio.IoUtils;
import org.xnio.XnioIoThread;

/**
 * Opens tunnels through peers.
 *
 * <p>Peers are tried in an order that depends on the upstream, so that the tunnels of a node to
 * many upstreams spread over the peers, and those to one upstream prefer one. A peer that opened
 * none is left out for some time; one that did not answer is left out with its idle connections.
 * Safe for use by several threads; peers are asked on the I/O thread.
 *
 * @since 0.1
 */
public final class PeerTunnelOpener implements TunnelOpener {
  private static final int MAX_PEERS_TRIED = 4;
  private static final Duration PEER_TIMEOUT = Duration.ofMillis(250);
  private static final Duration AVOID = Duration.ofSeconds(1);

  /** For how long a peer is avoided that does not know tunnels, or does not know this node. */
  private static final Duration AVOID_UNSUITABLE = Duration.ofSeconds(5);

  private final HttpWorker worker;
  private final XnioIoThread thread;
  private final InetAddress self;
  private final Supplier<List<InetSocketAddress>> peers;
  private final LongSupplier clock;
  private final int salt;
  private final Map<InetSocketAddress, Long> avoidedUntil = new ConcurrentHashMap<>();

  /** The peers that did not answer, and until when their idle connections are not used. */
  private final Map<InetSocketAddress, Long> unresponsiveUntil = new ConcurrentHashMap<>();

  /**
   * Creates an opener.
   *
   * @param worker the I/O thread and buffers
   * @param self the address under which peers know this node, from which tunnels are requested
   * @param peers returns the peers that may offer tunnels
   * @param clock the node's monotonic clock, nanoseconds
   * @param salt differs between nodes, so that they prefer different peers
   */
  public PeerTunnelOpener(
      HttpWorker worker,
      InetAddress self,
      Supplier<List<InetSocketAddress>> peers,
      LongSupplier clock,
      int salt) {
    this.worker = worker;
    this.thread = worker.worker().getIoThread();
    this.self = self;
    this.peers = peers;
    this.clock = clock;
    this.salt = salt;
  }

  @Override
  public void open(Destination.Tunnel destination, Result result) {
    thread.execute(() -> new Attempt(destination, result, candidates(destination)).next());
  }

  @Override
  public boolean isReusable(ClientConnection connection) {
    InetSocketAddress peer = connection.getPeerAddress(InetSocketAddress.class);
    return peers.get().contains(peer) && !isIn(unresponsiveUntil, peer, clock.getAsLong());
  }

  private List<InetSocketAddress> candidates(Destination.Tunnel destination) {
    long now = clock.getAsLong();
    avoidedUntil.values().removeIf(until -> until <= now);
    unresponsiveUntil.values().removeIf(until -> until <= now);
    return peers.get().stream()
        .filter(p -> !isIn(avoidedUntil, p, now))
        .sorted(Comparator.comparingInt(p -> rank(p, destination)))
        .limit(MAX_PEERS_TRIED)
        .toList();
  }

  private int rank(InetSocketAddress peer, Destination.Tunnel destination) {
    int hash = 31 * (31 * salt + peer.hashCode()) + destination.upstream().hashCode();
    // Finalizer of MurmurHash3: sums of similar hash codes have similar low bits.
    hash = (hash ^ (hash >>> 16)) * 0x85ebca6b;
    hash = (hash ^ (hash >>> 13)) * 0xc2b2ae35;
    return hash ^ (hash >>> 16);
  }

  private static boolean isIn(
      Map<InetSocketAddress, Long> until, InetSocketAddress peer, long now) {
    return until.getOrDefault(peer, Long.MIN_VALUE) > now;
  }

  private void avoid(InetSocketAddress peer, Duration time) {
    avoidedUntil.put(peer, clock.getAsLong() + time.toNanos());
  }

  /** The peers that are tried one after the other for one tunnel. */
  private final class Attempt {
    private final Destination.Tunnel destination;
    private final Result result;
    private final Iterator<InetSocketAddress> candidates;

    Attempt(Destination.Tunnel destination, Result result, List<InetSocketAddress> candidates) {
      this.destination = destination;
      this.result = result;
      this.candidates = candidates.iterator();
    }

    void next() {
      if (candidates.hasNext()) {
        new PeerRequest(this, candidates.next()).start();
      } else {
        result.failed(ConnectFailure.TIMED_OUT, "no node offers a tunnel");
      }
    }
  }

  /** The request for a tunnel to one peer; ends once. */
  private final class PeerRequest implements HttpConnector.Callback {
    private final Attempt attempt;
    private final InetSocketAddress peer;
    private HttpConnector.Opened connection;
    private TunnelInput input;
    private boolean ended;

    PeerRequest(Attempt attempt, InetSocketAddress peer) {
      this.attempt = attempt;
      this.peer = peer;
    }

    void start() {
      thread.executeAfter(
          () -> failed(new IOException("no answer in time")),
          PEER_TIMEOUT.toMillis(),
          TimeUnit.MILLISECONDS);
      HttpConnector.connect(
          worker,
          thread,
          Optional.of(new InetSocketAddress(self, 0)),
          new UpstreamAddress(peer).hostHeader(),
          UpstreamClientSettings.DEFAULT.maxOverheadBytes(),
          raw -> input = TunnelInput.install(raw),
          this);
    }

    @Override
    public void opened(HttpConnector.Opened opened) {
      if (ended) {
        input.giveUp();
        IoUtils.safeClose(opened.http());
        return;
      }
      connection = opened;
      ClientRequest request =
          new ClientRequest()
              .setMethod(Methods.CONNECT)
              .setPath(attempt.destination.address().hostHeader())
              .setProtocol(Protocols.HTTP_1_1);
      request
          .getRequestHeaders()
          .put(Headers.HOST, attempt.destination.address().hostHeader())
          .put(TunnelProtocol.UPSTREAM, attempt.destination.upstream().value())
          .put(TunnelProtocol.FRAMES, TunnelProtocol.FRAMES_VERSION);
      opened.http().addCloseListener(c -> failed(new IOException("the connection was closed")));
      opened
          .http()
          .sendRequest(
              request,
              callback(exchange -> exchange.setResponseListener(callback(this::answered))));
    }

    private ClientCallback<ClientExchange> callback(Consumer<ClientExchange> action) {
      return new ClientCallback<>() {
        @Override
        public void completed(ClientExchange exchange) {
          action.accept(exchange);
        }

        @Override
        public void failed(IOException e) {
          PeerRequest.this.failed(e);
        }
      };
    }

    private void answered(ClientExchange exchange) {
      if (ended) {
        return;
      }
      int status = exchange.getResponse().getResponseCode();
      if (status == TunnelProtocol.OPEN) {
        finishAnswer(exchange);
      } else if (status == TunnelProtocol.REFUSED) {
        ended = true;
        close();
        attempt.result.failed(ConnectFailure.REFUSED, "refused, by node " + peer);
      } else {
        boolean unsuitable = status != StatusCodes.SERVICE_UNAVAILABLE;
        fail(unsuitable ? AVOID_UNSUITABLE : AVOID);
      }
    }

    /** Reads the end of the empty answer, after which the connection takes the next request. */
    private void finishAnswer(ClientExchange exchange) {
      try (PooledByteBuffer none = worker.buffers().allocate()) {
        if (exchange.getResponseChannel().read(none.getBuffer()) >= 0) {
          fail(AVOID);
          return;
        }
      } catch (IOException e) {
        failed(e);
        return;
      }
      ended = true;
      input.start(TunnelProtocol.isFramed(exchange.getResponse().getResponseHeaders()));
      attempt.result.opened(connection);
    }

    @Override
    public void failed(IOException e) {
      if (!ended) {
        unresponsiveUntil.put(peer, clock.getAsLong() + AVOID.toNanos());
        fail(AVOID);
      }
    }

    private void close() {
      if (connection != null) {
        input.giveUp();
        IoUtils.safeClose(connection.http());
      }
    }

    private void fail(Duration avoid) {
      ended = true;
      close();
      avoid(peer, avoid);
      attempt.next();
    }
  }
}
