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
 * Tells whether the node takes callers, its metrics, which requests are quarantined, and which
 * limits upstreams name.
 *
 * <p>Safe for use by several threads.
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

  /** Listens at both addresses; the desks of operators answer at that of the metrics. */
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
    boolean now = ready.getAsBoolean();
    exchange.setStatusCode(now ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain; charset=utf-8");
    exchange.getResponseSender().send(now ? "ready\n" : "not ready\n");
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

  /** Where metrics are read. */
  InetSocketAddress metricsAddress() {
    return (InetSocketAddress) server.getListenerInfo().getLast().getAddress();
  }

  @Override
  public void close() {
    server.stop();
  }
}
