/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.larkkeel.http.HttpWorker;
import org.larkkeel.http.tunnel.TunnelHandler;
import org.larkkeel.store.HttpClientOptions;
import org.larkkeel.store.Scheduler;
import org.larkkeel.store.StoreVersion;
import org.larkkeel.store.internal.http.HttpFailures.Effect;
import org.larkkeel.store.internal.http.HttpServiceClient;
import org.larkkeel.store.internal.http.JsonHttpClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Serves this node's copy of the store and tunnels to upstreams to its peers, and reads copies from
 * them while this node's calls to the store fail.
 *
 * <p>Peers are queried one at a time, and only for newer versions, so that copies do not compete
 * for a slow link. Runs on the scheduler.
 */
final class PeerFeed implements AutoCloseable {
  private static final Logger log = LoggerFactory.getLogger(PeerFeed.class);
  private static final String PATH = "/feed";
  private static final String CONFIGURATIONS = "configurations";
  private static final String UPSTREAMS = "upstreams";
  private static final Duration CHECK_PERIOD = Duration.ofMillis(300);
  private static final Duration TIMEOUT = Duration.ofMillis(600);
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final RelayFeed feed;
  private final HttpWorker worker;
  private final Scheduler scheduler;
  private final Supplier<List<InetSocketAddress>> peers;
  private final TunnelHandler tunnels;
  private final Consumer<String> results;
  private final Undertow server;
  private int nextPeer;

  /** Whether a peer was asked whose copy is not complete. */
  private boolean fetching;

  private boolean closed;

  PeerFeed(
      InetSocketAddress bind,
      RelayFeed feed,
      HttpWorker worker,
      Scheduler scheduler,
      Supplier<List<InetSocketAddress>> peers,
      TunnelHandler tunnels,
      Consumer<String> results) {
    this.feed = feed;
    this.worker = worker;
    this.scheduler = scheduler;
    this.peers = peers;
    this.tunnels = tunnels;
    this.results = results;
    this.server =
        Undertow.builder()
            .setWorker(worker.worker())
            .setByteBufferPool(worker.buffers())
            .addHttpListener(bind.getPort(), bind.getAddress().getHostAddress(), this::handle)
            .build();
  }

  void start() {
    server.start();
    scheduler.schedule(CHECK_PERIOD, this::check);
  }

  private void handle(HttpServerExchange exchange) {
    if (exchange.getRequestMethod().equals(Methods.CONNECT)) {
      tunnels.handleRequest(exchange);
      return;
    }
    if (!exchange.getRequestPath().equals(PATH)) {
      exchange.setStatusCode(StatusCodes.NOT_FOUND);
      exchange.endExchange();
      return;
    }
    StoreVersion configurations = version(exchange, CONFIGURATIONS);
    StoreVersion upstreams = version(exchange, UPSTREAMS);
    exchange.dispatch(
        scheduler,
        () -> {
          exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
          byte[] copy = feed.copy(configurations, upstreams).toBytes();
          exchange.getResponseSender().send(ByteBuffer.wrap(copy));
        });
  }

  private static StoreVersion version(HttpServerExchange exchange, String name) {
    Deque<String> values = exchange.getQueryParameters().get(name);
    return values == null ? StoreVersion.NONE : StoreVersion.parse(values.getFirst());
  }

  private void check() {
    if (closed) {
      return;
    }
    scheduler.schedule(CHECK_PERIOD, this::check);
    List<InetSocketAddress> live = peers.get();
    if (!feed.isFailing() || live.isEmpty() || fetching) {
      return;
    }
    nextPeer = (nextPeer + 1) % live.size();
    fetch(live.get(nextPeer));
  }

  private void fetch(InetSocketAddress peer) {
    URI base = URI.create("http://" + peer.getAddress().getHostAddress() + ":" + peer.getPort());
    JsonHttpClient calls =
        new JsonHttpClient(
            new HttpServiceClient(
                HttpClientOptions.of(base).withTimeout(TIMEOUT), worker.worker(), scheduler));
    fetching = true;
    final long beginNanos = scheduler.nanoTime();
    FeedChanges ownVersions = feed.versions();
    String path =
        PATH
            + "?"
            + CONFIGURATIONS
            + "="
            + ownVersions.configurations()
            + "&"
            + UPSTREAMS
            + "="
            + ownVersions.upstreams();
    calls
        .call(Effect.READ, Methods.GET, path, "", FeedCopy::fromJson)
        .whenComplete(
            (copy, failure) -> {
              fetching = false;
              calls.close();
              if (failure == null) {
                results.accept(feed.offer(copy) ? "newer" : "not_newer");
              } else {
                results.accept("failed");
                log.info(
                    "event=copy_not_received peer={} ms={} cause=\"{}\"",
                    peer,
                    (scheduler.nanoTime() - beginNanos) / NANOS_PER_MILLI,
                    failure.getMessage());
              }
            });
  }

  @Override
  public void close() {
    closed = true;
    server.stop();
  }
}
