/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import java.net.InetSocketAddress;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.larkkeel.http.HttpWorker;
import org.larkkeel.http.operator.OperatorPaths;

/**
 * Serves readiness, metrics, the quarantined requests and the announced rate limits of upstreams.
 *
 * <p>Thread-safe.
 */
final class StatusListener implements AutoCloseable {
  private static final String METRICS = "/metrics";
  private static final String METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8";

  private final BooleanSupplier ready;
  private final Supplier<String> scrape;
  private final HttpHandler quarantine;
  private final HttpHandler limits;
  private final Undertow server;

  private StatusListener(
      HttpWorker worker,
      InetSocketAddress readiness,
      InetSocketAddress metrics,
      BooleanSupplier ready,
      Supplier<String> scrape,
      HttpHandler quarantine,
      HttpHandler limits) {
    this.quarantine = quarantine;
    this.limits = limits;
    this.ready = ready;
    this.scrape = scrape;
    this.server =
        Undertow.builder()
            .setWorker(worker.worker())
            .setByteBufferPool(worker.buffers())
            .addHttpListener(
                readiness.getPort(), readiness.getAddress().getHostAddress(), this::readiness)
            .addHttpListener(
                metrics.getPort(), metrics.getAddress().getHostAddress(), this::metrics)
            .build();
  }

  /**
   * Starts listening at both addresses; the operator endpoints are served at the address of the
   * metrics.
   */
  static StatusListener start(
      HttpWorker worker,
      InetSocketAddress readiness,
      InetSocketAddress metrics,
      BooleanSupplier ready,
      Supplier<String> scrape,
      HttpHandler quarantine,
      HttpHandler limits) {
    StatusListener listener =
        new StatusListener(worker, readiness, metrics, ready, scrape, quarantine, limits);
    listener.server.start();
    return listener;
  }

  private void readiness(HttpServerExchange exchange) {
    boolean isReady = ready.getAsBoolean();
    exchange.setStatusCode(isReady ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain; charset=utf-8");
    exchange.getResponseSender().send(isReady ? "ready\n" : "not ready\n");
  }

  private void metrics(HttpServerExchange exchange) throws Exception {
    if (exchange.getRequestPath().startsWith(OperatorPaths.QUARANTINE)) {
      quarantine.handleRequest(exchange);
      return;
    }
    if (exchange.getRequestPath().equals(OperatorPaths.UPSTREAM_LIMITS)) {
      limits.handleRequest(exchange);
      return;
    }
    if (!exchange.getRequestPath().equals(METRICS)) {
      exchange.setStatusCode(StatusCodes.NOT_FOUND);
      exchange.endExchange();
      return;
    }
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, METRICS_TYPE);
    exchange.getResponseSender().send(scrape.get());
  }

  /** Returns the address of the metrics. */
  InetSocketAddress metricsAddress() {
    return (InetSocketAddress) server.getListenerInfo().getLast().getAddress();
  }

  @Override
  public void close() {
    server.stop();
  }
}
