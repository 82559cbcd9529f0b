/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.internal.http;

import io.undertow.client.ClientConnection;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import org.larkkeel.store.internal.http.HttpCallException.Sent;

/**
 * A bounded pool of connections. Confined to the scheduler.
 *
 * <p>Invariant: {@code open} counts idle, lent and connecting ones and stays at or below the limit.
 */
final class ConnectionPool implements Connections {
  private final Connector connector;
  private final int limit;
  private final Deque<ClientConnection> idle = new ArrayDeque<>();
  private final Deque<CompletableFuture<ClientConnection>> waiting = new ArrayDeque<>();
  private int open;
  private boolean closed;

  ConnectionPool(Connector connector) {
    this.connector = connector;
    this.limit = connector.options().maxConnections();
  }

  @Override
  public CompletableFuture<ClientConnection> acquire() {
    CompletableFuture<ClientConnection> f = new CompletableFuture<>();
    if (closed) {
      f.completeExceptionally(new HttpCallException(Sent.NO, "the client is closed"));
      return f;
    }
    waiting.addLast(f);
    serve();
    return f;
  }

  @Override
  public void release(ClientConnection c, boolean reusable) {
    if (reusable && c.isOpen() && !closed) {
      idle.addFirst(c);
    } else {
      discard(c);
    }
    serve();
  }

  /** Closes the connections that no call uses. */
  void closeIdle() {
    open -= idle.size();
    idle.forEach(Connector::reset);
    idle.clear();
  }

  void close() {
    closed = true;
    closeIdle();
    waiting.forEach(
        f -> f.completeExceptionally(new HttpCallException(Sent.NO, "the client is closed")));
    waiting.clear();
  }

  private void serve() {
    while (!waiting.isEmpty()) {
      if (waiting.peekFirst().isDone()) {
        waiting.removeFirst();
        continue;
      }
      ClientConnection c = takeIdle();
      if (c != null) {
        waiting.removeFirst().complete(c);
        continue;
      }
      if (open >= limit) {
        return;
      }
      open++;
      CompletableFuture<ClientConnection> f = waiting.removeFirst();
      connector.connect().whenComplete((made, failure) -> connected(f, made, failure));
    }
  }

  private void connected(
      CompletableFuture<ClientConnection> f, ClientConnection made, Throwable failure) {
    if (failure != null) {
      open--;
      f.completeExceptionally(failure);
      serve();
    } else if (!f.complete(made)) {
      release(made, true);
    }
  }

  private ClientConnection takeIdle() {
    while (!idle.isEmpty()) {
      ClientConnection c = idle.removeFirst();
      if (c.isOpen()) {
        return c;
      }
      discard(c);
    }
    return null;
  }

  private void discard(ClientConnection c) {
    open--;
    Connector.reset(c);
  }
}
