/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.upstream;

import java.time.Duration;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.larkkeel.http.HttpWorker;
import org.larkkeel.relay.ProbeResult;
import org.xnio.XnioExecutor;

/**
 * Sends requests to upstreams over pooled connections.
 *
 * <p>A request is sent at most once. It moves to a new connection only if a pooled one turns out to
 * be closed before any byte of the request was written. Safe for use by several threads.
 *
 * @since 0.1
 */
public final class UpstreamClient implements AutoCloseable {
  private final HttpWorker worker;
  private final UpstreamClientSettings settings;
  private final LongSupplier clock;
  private final ConcurrentMap<Destination, ConnectionPool> pools = new ConcurrentHashMap<>();
  private final XnioExecutor.Key idleTimer;
  private volatile TunnelOpener tunnels = TunnelOpener.NONE;

  /**
   * Creates a client.
   *
   * @param worker the I/O threads, which must outlive the client
   * @param settings the limits of connections and sizes
   * @param clock the node's monotonic clock, nanoseconds
   */
  public UpstreamClient(HttpWorker worker, UpstreamClientSettings settings, LongSupplier clock) {
    this.worker = worker;
    this.settings = settings;
    this.clock = clock;
    long interval = Math.max(1, settings.idleMillis() / 2);
    this.idleTimer =
        worker
            .worker()
            .getIoThread()
            .executeAtInterval(this::closeIdle, interval, TimeUnit.MILLISECONDS);
  }

  /**
   * Sets how tunnels are opened. Must be called before the first request by a tunnel.
   *
   * @param opener opens tunnels
   */
  public void setTunnelOpener(TunnelOpener opener) {
    tunnels = opener;
  }

  /**
   * Sends a request by direct connections.
   *
   * @param address the upstream
   * @param request the request
   * @param timeout the timeout of the request; its full duration also limits the wait for a
   *     connection
   * @param use the connections that may be used
   * @param handler receives the response
   * @return a handle to abort the request
   */
  public InFlightRequest send(
      UpstreamAddress address,
      UpstreamRequest request,
      ResponseTimeout timeout,
      ConnectionUse use,
      ResponseHandler handler) {
    return send(new Destination.Direct(address), request, timeout, use, handler);
  }

  /**
   * Sends a request.
   *
   * @param destination the upstream and the way to it
   * @param request the request
   * @param timeout the timeout of the request; its full duration also limits the wait for a
   *     connection
   * @param use the connections that may be used
   * @param handler receives the response
   * @return a handle to abort the request
   */
  public InFlightRequest send(
      Destination destination,
      UpstreamRequest request,
      ResponseTimeout timeout,
      ConnectionUse use,
      ResponseHandler handler) {
    UpstreamExchange exchange =
        new UpstreamExchange(
            worker,
            pool(destination),
            destination.address(),
            request,
            timeout,
            use,
            clock,
            handler);
    exchange.start();
    return exchange;
  }

  private ConnectionPool pool(Destination destination) {
    return pools.computeIfAbsent(
        destination, d -> new ConnectionPool(d, tunnels, settings, worker, clock));
  }

  /**
   * Probes whether a tunnel to an upstream opens; one that does is kept for later requests.
   *
   * @param destination the upstream
   * @param timeout the maximum time until the result
   * @param done receives the result, exactly once
   */
  public void probe(Destination.Tunnel destination, Duration timeout, Consumer<ProbeResult> done) {
    TunnelProbe probe = new TunnelProbe(done);
    probe.start(pool(destination), worker.worker().getIoThread(), timeout);
  }

  /**
   * Probes whether an upstream that has just closed a connection in order still listens.
   *
   * @param address the upstream
   * @param done receives the result, exactly once, on an I/O thread
   */
  public void probeEnd(UpstreamAddress address, Consumer<ProbeResult> done) {
    new EndProbe(worker.worker().getIoThread()).start(address.address(), done);
  }

  /**
   * Returns the limits of connections and sizes.
   *
   * @return the settings
   */
  public UpstreamClientSettings settings() {
    return settings;
  }

  /**
   * Counts the direct connections to an upstream.
   *
   * @param address the upstream
   * @return the number of connections that are open or being opened
   */
  public int openConnections(UpstreamAddress address) {
    ConnectionPool pool = pools.get(new Destination.Direct(address));
    return pool == null ? 0 : pool.openConnections();
  }

  @Override
  public void close() {
    idleTimer.remove();
    pools.values().forEach(p -> p.closeIdle(clock.getAsLong(), Long.MIN_VALUE));
  }

  private void closeIdle() {
    long idleNanos = TimeUnit.MILLISECONDS.toNanos(settings.idleMillis());
    long now = clock.getAsLong();
    pools.values().forEach(p -> p.closeIdle(now, idleNanos));
  }
}
