/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.internal.http;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import org.larkkeel.store.HttpClientOptions;
import org.larkkeel.store.Scheduler;
import org.larkkeel.store.internal.http.HttpCallException.Sent;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;

/** Opens connections to one service. Thread-safe. */
final class Connector {
  private static final int BUFFER_BYTES = 16 << 10;

  private final HttpClientOptions options;
  private final WorkerTermination termination;
  private final Scheduler scheduler;
  private final Opener opener;

  Connector(HttpClientOptions options, XnioWorker worker, Scheduler scheduler) {
    this(options, worker, scheduler, opener(options, worker));
  }

  Connector(HttpClientOptions options, XnioWorker worker, Scheduler scheduler, Opener opener) {
    this.options = options;
    this.termination = WorkerTermination.of(worker);
    this.scheduler = scheduler;
    this.opener = opener;
  }

  private static Opener opener(HttpClientOptions options, XnioWorker worker) {
    ByteBufferPool buffers = new DefaultByteBufferPool(false, BUFFER_BYTES, 64, 0);
    return callback ->
        UndertowClient.getInstance()
            .connect(
                callback,
                null,
                options.base(),
                worker,
                options.ssl().orElse(null),
                buffers,
                OptionMap.EMPTY);
  }

  /** Opens a connection. The future completes on the scheduler. */
  CompletableFuture<ClientConnection> connect() {
    CompletableFuture<ClientConnection> f = new CompletableFuture<>();
    ClientCallback<ClientConnection> callback =
        new ClientCallback<>() {
          @Override
          public void completed(ClientConnection c) {
            scheduler.execute(() -> f.complete(c));
          }

          @Override
          public void failed(IOException e) {
            scheduler.execute(() -> f.completeExceptionally(connectFailure(e)));
          }
        };
    try {
      opener.open(callback);
    } catch (RejectedExecutionException e) {
      callback.failed(new IOException("the I/O threads have ended", e));
    }
    return f;
  }

  /**
   * Sends a request on the I/O thread of its connection. The state of a connection is confined to
   * that thread: if it closes a connection that another thread writes to, the connection stays half
   * open and reports no failure.
   */
  static void send(
      ClientConnection c, ClientRequest request, ClientCallback<ClientExchange> callback) {
    try {
      c.getIoThread().execute(() -> c.sendRequest(request, callback));
    } catch (RejectedExecutionException e) {
      callback.failed(new IOException("the I/O threads have ended", e));
    }
  }

  /** Returns what reports the end of the I/O threads. */
  WorkerTermination termination() {
    return termination;
  }

  /**
   * Resets a connection whose response is no longer needed.
   *
   * <p>An ordinary close first waits up to 10 s for the rest of the response. During this time the
   * service continues to process the call, and still counts a watch as waiting.
   */
  static void reset(ClientConnection c) {
    try {
      c.getIoThread().execute(() -> resetNow(c));
    } catch (RejectedExecutionException e) {
      // The I/O thread has ended, so nothing reads the rest: an ordinary close does not wait.
      IoUtils.safeClose(c);
    }
  }

  private static void resetNow(ClientConnection c) {
    try {
      StreamConnection raw = c.performUpgrade();
      raw.setOption(Options.CLOSE_ABORT, true);
      IoUtils.safeClose(raw);
    } catch (IOException e) {
      IoUtils.safeClose(c);
    }
  }

  HttpClientOptions options() {
    return options;
  }

  Scheduler scheduler() {
    return scheduler;
  }

  private static HttpCallException connectFailure(IOException e) {
    return new HttpCallException(Sent.NO, "connection failed: " + e.getMessage());
  }

  /** Opens a connection. */
  interface Opener {
    /** Starts opening; the callback is called on any thread. */
    void open(ClientCallback<ClientConnection> callback);
  }
}
