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
 * A bounded pool of connections to one service. Confined to the scheduler.
 *
 * <p>Invariant: {@code openCount} is the number of idle, acquired and connecting connections, and
 * never exceeds {@code maxConnections}.
 */
final class ConnectionPool implements ConnectionSource {
  private final Connector connector;
  private final int maxConnections;
  private final Deque<ClientConnection> idle = new ArrayDeque<>();
  private final Deque<CompletableFuture<ClientConnection>> waiting = new ArrayDeque<>();
  private int openCount;
  private boolean closed;

  ConnectionPool(Connector connector) {
    this.connector = connector;
    this.maxConnections = connector.options().maxConnections();
  }

  @Override
  public CompletableFuture<ClientConnection> acquire() {
    CompletableFuture<ClientConnection> f = new CompletableFuture<>();
    if (closed) {
      f.completeExceptionally(new HttpCallException(Sent.NO, "the client is closed"));
      return f;
    }
    waiting.addLast(f);
    serveWaiting();
    return f;
  }

  @Override
  public void release(ClientConnection c, boolean reusable) {
    if (reusable && c.isOpen() && !closed) {
      idle.addFirst(c);
    } else {
      discard(c);
    }
    serveWaiting();
  }

  /** Closes the idle connections. */
  void closeIdle() {
    openCount -= idle.size();
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

  private void serveWaiting() {
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
      if (openCount >= maxConnections) {
        return;
      }
      openCount++;
      CompletableFuture<ClientConnection> f = waiting.removeFirst();
      connector.connect().whenComplete((made, failure) -> connected(f, made, failure));
    }
  }

  private void connected(
      CompletableFuture<ClientConnection> waiter, ClientConnection connection, Throwable failure) {
    if (failure != null) {
      openCount--;
      waiter.completeExceptionally(failure);
      serveWaiting();
    } else if (!waiter.complete(connection)) {
      release(connection, true);
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
    openCount--;
    Connector.reset(c);
  }
}
