/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.standin.internal;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * The HTTP server of a stand-in; closing it closes all connections abruptly.
 *
 * <p>Invariant: after {@link #close} no new call is handled. All servers of a process share a few
 * I/O threads; each call is handled on its own virtual thread. Safe for use by several threads.
 *
 * @since 0.1
 */
public final class StandinServer implements AutoCloseable {
  private static final Logger log = LoggerFactory.getLogger(StandinServer.class);
  private static final int IO_THREADS = 4;
  private static final int BUFFER_BYTES = 16 * 1024;
  private static final long MAX_BODY_BYTES = 64L << 20;
  private static final ExecutorService HANDLER_THREADS =
      Executors.newVirtualThreadPerTaskExecutor();

  private final InetSocketAddress address;
  private final ObjectMapper mapper;
  private final CallHandler handler;
  private final Undertow undertow;
  private final Set<ServerConnection> connections = ConcurrentHashMap.newKeySet();
  private volatile boolean closed;

  /** Holds the shared I/O threads, which are created on first use. */
  private static final class SharedWorker {
    static final XnioWorker WORKER = worker();

    private static XnioWorker worker() {
      try {
        return Xnio.getInstance()
            .createWorker(
                OptionMap.builder()
                    .set(Options.WORKER_IO_THREADS, IO_THREADS)
                    .set(Options.WORKER_TASK_CORE_THREADS, 1)
                    .set(Options.WORKER_TASK_MAX_THREADS, 2)
                    .set(Options.TCP_NODELAY, true)
                    .set(Options.THREAD_DAEMON, true)
                    .getMap());
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
  }

  /**
   * Starts a server.
   *
   * @param bind the address to listen on; port 0 takes a free one
   * @param mapper the mapper for JSON messages
   * @param handler handles the calls
   */
  public StandinServer(InetSocketAddress bind, ObjectMapper mapper, CallHandler handler) {
    this.mapper = mapper;
    this.handler = handler;
    undertow =
        Undertow.builder()
            .setWorker(SharedWorker.WORKER)
            .setByteBufferPool(new DefaultByteBufferPool(true, BUFFER_BYTES, -1, 0))
            .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, MAX_BODY_BYTES)
            .addHttpListener(bind.getPort(), bind.getHostString())
            .setHandler(this::dispatch)
            .build();
    undertow.start();
    address = (InetSocketAddress) undertow.getListenerInfo().get(0).getAddress();
  }

  /**
   * Returns the address that the server listens on.
   *
   * @return the address with the actual port
   */
  public InetSocketAddress address() {
    return address;
  }

  /** Closes the listener and all connections abruptly. */
  @Override
  public void close() {
    closed = true;
    undertow.stop();
    connections.forEach(IoUtils::safeClose);
    connections.clear();
  }

  private void dispatch(HttpServerExchange exchange) {
    ServerConnection connection = exchange.getConnection();
    if (connections.add(connection)) {
      connection.addCloseListener(connections::remove);
    }
    if (closed) {
      IoUtils.safeClose(connection);
      return;
    }
    exchange.dispatch(HANDLER_THREADS, this::run);
  }

  private void run(HttpServerExchange exchange) {
    exchange.startBlocking();
    Call call = new Call(exchange, mapper);
    try {
      handler.handle(call);
    } catch (IOException e) {
      call.closeConnection();
    } catch (InterruptedException e) {
      call.closeConnection();
    } catch (RuntimeException e) {
      log.error("event=standin-failed method={} path={}", call.method(), call.path(), e);
      call.closeConnection();
    }
  }
}
