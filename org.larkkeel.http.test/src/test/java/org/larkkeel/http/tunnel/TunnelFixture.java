/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.tunnel;

import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import io.undertow.Undertow;
import io.undertow.util.Methods;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.larkkeel.event.Exposure;
import org.larkkeel.http.HttpWorker;
import org.larkkeel.http.upstream.ConnectionUse;
import org.larkkeel.http.upstream.Destination;
import org.larkkeel.http.upstream.InFlightRequest;
import org.larkkeel.http.upstream.ResponseCollector;
import org.larkkeel.http.upstream.ResponseTimeout;
import org.larkkeel.http.upstream.UpstreamAddress;
import org.larkkeel.http.upstream.UpstreamClient;
import org.larkkeel.http.upstream.UpstreamClientSettings;
import org.larkkeel.http.upstream.UpstreamFailure;
import org.larkkeel.http.upstream.UpstreamRequest;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.relay.ProbeResult;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;

/**
 * A node that offers tunnels, and a client that asks for them.
 *
 * <p>Each test has a client and peers of its own.
 */
public abstract class TunnelFixture {
  static final long TIMEOUT_SECONDS = 10;

  /** The address of the asking node. */
  static final InetAddress SELF = InetAddress.ofLiteral("127.0.0.5");

  private static final UpstreamName NAME = new UpstreamName("engine-1");

  /** The address by which the asking node knows the upstream, where nothing listens. */
  private static final UpstreamAddress UNREACHABLE = UpstreamAddress.parse("127.0.0.9:9");

  final List<Undertow> servers = new ArrayList<>();
  final List<InetSocketAddress> peers = new ArrayList<>();
  final List<TunnelHandler> handlers = new ArrayList<>();
  HttpWorker worker;
  HttpWorker peerWorker;
  UpstreamClient client;
  boolean isPeer;
  UpstreamAddress target;
  ImmutableList<UpstreamAddress> siblings;

  /** Starts the client. */
  @BeforeMethod
  public void start() {
    isPeer = true;
    target = UNREACHABLE;
    siblings = ImmutableList.of();
    worker = new HttpWorker(1);
    peerWorker = new HttpWorker(1);
    client = new UpstreamClient(worker, UpstreamClientSettings.DEFAULT, System::nanoTime);
    client.setTunnelOpener(new PeerTunnelOpener(worker, SELF, () -> peers, System::nanoTime, 1));
  }

  /** Stops the client and the peers. */
  @AfterMethod(alwaysRun = true)
  public void stop() {
    client.close();
    servers.forEach(Undertow::stop);
    handlers.forEach(TunnelHandler::close);
    servers.clear();
    handlers.clear();
    peers.clear();
    worker.close();
    peerWorker.close();
  }

  /** Starts a peer. */
  TunnelHandler startPeer() {
    TunnelHandler handler = new TunnelHandler(peerWorker, new Gate());
    Undertow server =
        Undertow.builder()
            .setWorker(peerWorker.worker())
            .setByteBufferPool(peerWorker.buffers())
            .addHttpListener(0, "127.0.0.1", handler)
            .build();
    server.start();
    servers.add(server);
    handlers.add(handler);
    peers.add((InetSocketAddress) server.getListenerInfo().getFirst().getAddress());
    return handler;
  }

  /** Adds a peer that refuses connections. */
  void addDeadPeer() throws IOException {
    try (ServerSocket closed = new ServerSocket(0, 1, InetAddress.ofLiteral("127.0.0.1"))) {
      peers.add((InetSocketAddress) closed.getLocalSocketAddress());
    }
  }

  private final class Gate implements TunnelGate {
    @Override
    public boolean isPeer(InetAddress host) {
      return isPeer && host.equals(SELF);
    }

    @Override
    public Optional<UpstreamAddress> address(UpstreamName upstream) {
      return Optional.of(target).filter(t -> upstream.equals(NAME));
    }

    @Override
    public ImmutableList<UpstreamAddress> siblings(UpstreamName upstream) {
      return siblings;
    }
  }

  InFlightRequest send(byte[] body, CompletableFuture<Object> outcome) {
    return client.send(
        new Destination.Tunnel(UNREACHABLE, NAME),
        new UpstreamRequest(Methods.POST, "/x", ImmutableListMultimap.of(), body),
        ResponseTimeout.total(TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS)),
        ConnectionUse.REQUEST,
        new ResponseCollector(1 << 24, outcome::complete, outcome::complete));
  }

  Object exchange(byte[] body) throws Exception {
    CompletableFuture<Object> outcome = new CompletableFuture<>();
    send(body, outcome);
    return outcome.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  /**
   * Repeats a request until it was sent: a peer that does not answer in time, as on a busy machine,
   * opens no tunnel, and such a request tells nothing of answers.
   */
  Object exchangeOnceSent(byte[] body) throws Exception {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
    Object outcome = exchange(body);
    while (outcome instanceof UpstreamFailure f
        && f.exposure() == Exposure.NOT_SENT
        && System.nanoTime() < end) {
      Thread.sleep(100);
      outcome = exchange(body);
    }
    return outcome;
  }

  static String body(Object outcome) {
    assertTrue(outcome instanceof ResponseCollector.Response, String.valueOf(outcome));
    return new String(((ResponseCollector.Response) outcome).body());
  }

  static UpstreamFailure failure(Object outcome) {
    assertTrue(outcome instanceof UpstreamFailure, String.valueOf(outcome));
    return (UpstreamFailure) outcome;
  }

  ProbeResult probe() throws Exception {
    CompletableFuture<ProbeResult> result = new CompletableFuture<>();
    client.probe(
        new Destination.Tunnel(UNREACHABLE, NAME), Duration.ofSeconds(2), result::complete);
    return result.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  static void await(BooleanSupplier condition) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() < end, "the condition was not met in time");
      Thread.sleep(5);
    }
  }
}
