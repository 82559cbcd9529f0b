/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.caller;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.handlers.HttpContinueReadHandler;
import java.net.InetSocketAddress;
import java.util.function.Supplier;
import javax.net.ssl.SSLContext;
import org.larkkeel.http.HttpWorker;
import org.xnio.Options;

/**
 * The HTTP listener for callers.
 *
 * <p>Each request is submitted as an event and answered through its {@link
 * org.larkkeel.http.request.CallerChannel}. Safe for use by several threads. Closing the listener
 * closes every connection, so the node must be drained first.
 *
 * @since 0.1
 */
public final class CallerListener implements AutoCloseable {
  private static final int MAX_HEADER_BYTES = 32 << 10;

  /**
   * The part of an oversized body that is read and discarded, in multiples of the body limit. A
   * caller that is still sending would lose the answer if its connection were closed at once.
   */
  private static final long DRAINED_BODY_FACTOR = 8;

  private static final int BACKLOG = 1024;

  private final CallerSettings settings;
  private final Undertow server;

  private CallerListener(CallerSettings settings, Undertow server) {
    this.settings = settings;
    this.server = server;
  }

  /**
   * Binds the address and starts to accept connections.
   *
   * @param settings the limits and the address
   * @param worker the I/O threads; must be closed after the listener
   * @param services the services of the node that the listener uses
   * @return the listener
   * @throws RuntimeException if the address cannot be bound
   */
  public static CallerListener start(
      CallerSettings settings, HttpWorker worker, CallerServices services) {
    HttpHandler handler = new HttpContinueReadHandler(new CallerHandler(settings, services));
    Undertow.Builder builder =
        Undertow.builder()
            .setWorker(worker.worker())
            .setByteBufferPool(worker.buffers())
            .setSocketOption(Options.BACKLOG, BACKLOG)
            .setServerOption(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
            .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
            .setServerOption(
                UndertowOptions.MAX_ENTITY_SIZE, DRAINED_BODY_FACTOR * settings.maxBodyBytes())
            .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, settings.headerMillis())
            .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, settings.idleMillis());
    InetSocketAddress bind = settings.bind();
    String host = bind.getAddress().getHostAddress();
    if (settings.tls().isPresent()) {
      builder.addHttpsListener(bind.getPort(), host, settings.tls().get().get(), handler);
    } else {
      builder.addHttpListener(bind.getPort(), host, handler);
    }
    Undertow server = builder.build();
    server.start();
    return new CallerListener(settings, server);
  }

  /**
   * Returns the bound address.
   *
   * @return the IP address and the port, which differs from the settings if those have port 0
   */
  public InetSocketAddress address() {
    return (InetSocketAddress) server.getListenerInfo().getFirst().getAddress();
  }

  /**
   * Reloads the TLS certificate for new connections; open connections keep theirs. Does nothing
   * without TLS.
   */
  public void reloadTls() {
    settings.tls().map(Supplier<SSLContext>::get).ifPresent(this::useTls);
  }

  @Override
  public void close() {
    server.stop();
  }

  private void useTls(SSLContext context) {
    server.getListenerInfo().forEach(l -> l.setSslContext(context));
  }
}
