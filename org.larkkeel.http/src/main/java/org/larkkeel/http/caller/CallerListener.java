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
 * Listens for callers.
 *
 * <p>Requests become events; answers come through the {@code CallerChannel} of each request. Safe
 * for use by several threads. Closing stops listening and closes every connection; drain first.
 *
 * @since 0.1
 */
public final class CallerListener implements AutoCloseable {
  private static final int MAX_HEADER_BYTES = 32 << 10;

  /**
   * How much of an oversized body is read away, in multiples of the limit. A caller that is still
   * sending would lose the answer if its connection were closed at once.
   */
  private static final long DRAINED = 8;

  private static final int BACKLOG = 1024;

  private final CallerSettings settings;
  private final Undertow server;

  private CallerListener(CallerSettings settings, Undertow server) {
    this.settings = settings;
    this.server = server;
  }

  /**
   * Starts to listen.
   *
   * @param settings limits and address
   * @param worker the I/O threads, which must outlive the listener
   * @param services the rest of the node
   * @return the listener
   * @throws RuntimeException if the address can not be bound
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
            .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, DRAINED * settings.maxBodyBytes())
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
   * The address in use.
   *
   * @return IP number and port
   */
  public InetSocketAddress address() {
    return (InetSocketAddress) server.getListenerInfo().getFirst().getAddress();
  }

  /** Takes the certificate anew; connections that are open keep theirs. Without TLS a no-op. */
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
