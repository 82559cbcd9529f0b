/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon;

import com.google.common.collect.ImmutableMap;
import io.undertow.Undertow;
import java.net.InetSocketAddress;
import java.time.InstantSource;
import javax.net.ssl.SSLContext;
import org.larkkeel.daemon.settings.ListenerSettings;
import org.larkkeel.daemon.settings.OperatorSettings;
import org.larkkeel.daemon.settings.Settings;
import org.larkkeel.http.HttpWorker;
import org.larkkeel.http.operator.OperatorApi;
import org.larkkeel.http.operator.OperatorService;
import org.larkkeel.http.operator.OperatorTokens;
import org.larkkeel.http.operator.Principal;

/**
 * The HTTP listener of the operator API, with or without TLS.
 *
 * <p>Safe for use by several threads.
 *
 * @since 0.1
 */
public final class OperatorListener implements AutoCloseable {
  private final ListenerSettings settings;
  private final Undertow server;

  private OperatorListener(ListenerSettings settings, Undertow server) {
    this.settings = settings;
    this.server = server;
  }

  /**
   * Starts the listener.
   *
   * @param settings the settings of the node
   * @param worker the I/O threads, which must outlive the listener
   * @param service handles the operator calls
   * @return the listener
   */
  public static OperatorListener start(
      Settings settings, HttpWorker worker, OperatorService service) {
    OperatorApi api = new OperatorApi(service, tokens(settings), InstantSource.system());
    ListenerSettings listener = settings.operator();
    String host = listener.address().getAddress().getHostAddress();
    int port = listener.address().getPort();
    Undertow.Builder builder =
        Undertow.builder().setWorker(worker.worker()).setByteBufferPool(worker.buffers());
    if (listener.tls().isPresent()) {
      builder.addHttpsListener(port, host, PemTls.context(listener.tls().get()), api);
    } else {
      builder.addHttpListener(port, host, api);
    }
    Undertow server = builder.build();
    server.start();
    return new OperatorListener(listener, server);
  }

  private static OperatorTokens tokens(Settings settings) {
    ImmutableMap.Builder<String, Principal> tokens = ImmutableMap.builder();
    for (OperatorSettings operator : settings.operators()) {
      tokens.put(operator.tokenSha256(), new Principal(operator.name(), operator.role()));
    }
    return new OperatorTokens(tokens.buildKeepingLast());
  }

  /**
   * Returns the bound address.
   *
   * @return IP number and port
   */
  public InetSocketAddress address() {
    return (InetSocketAddress) server.getListenerInfo().getFirst().getAddress();
  }

  /** Reloads the certificate from its files; does nothing without TLS. */
  public void reloadTls() {
    if (settings.tls().isPresent()) {
      SSLContext context = PemTls.context(settings.tls().get());
      server.getListenerInfo().forEach(l -> l.setSslContext(context));
    }
  }

  @Override
  public void close() {
    server.stop();
  }
}
