/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.upstream;

import io.undertow.UndertowOptions;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import java.io.IOException;
import java.net.URI;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.function.LongSupplier;
import org.larkkeel.http.HttpWorker;
import org.xnio.IoUtils;
import org.xnio.OptionMap;

/**
 * The connections to one upstream.
 *
 * <p>Invariants: at most {@code maxConnections} connections are open or being opened for requests,
 * and {@code reservedConnections} more for urgent use; a connection is idle, or lent to exactly one
 * request. Safe for use by several threads; callbacks run outside the lock.
 */
final class ConnectionPool {
  private static final OptionMap OPTIONS =
      OptionMap.create(UndertowOptions.ENABLE_STATISTICS, true);

  private final UpstreamAddress address;
  private final UpstreamClientSettings settings;
  private final HttpWorker worker;
  private final LongSupplier clock;
  private final Deque<PooledConnection> idle = new ArrayDeque<>();
  private final Deque<Waiter> waiting = new ArrayDeque<>();
  private int open;

  ConnectionPool(
      UpstreamAddress address,
      UpstreamClientSettings settings,
      HttpWorker worker,
      LongSupplier clock) {
    this.address = address;
    this.settings = settings;
    this.worker = worker;
    this.clock = clock;
  }

  /** Waits for a connection. Exactly one of its methods is called, once. */
  interface Waiter {
    /** Takes a connection; it must be released. */
    void ready(PooledConnection connection);

    /** No connection can be had. */
    void unavailable(String detail);

    /** Tells whether the connection is no longer wanted. */
    boolean abandoned();

    /** Tells whether the reserved connections may be used. */
    boolean urgent();

    /** Tells whether a connection that was used before will do. */
    boolean acceptsUsed();
  }

  void acquire(Waiter waiter) {
    PooledConnection found;
    boolean refused = false;
    synchronized (this) {
      found = waiter.acceptsUsed() ? pollIdle() : null;
      if (found == null && open < limit(waiter)) {
        open++;
      } else if (found == null) {
        refused = waiting.size() >= settings.maxWaiting() && !dropAbandoned();
        if (!refused) {
          enqueue(waiter);
          return;
        }
      }
    }
    if (refused) {
      waiter.unavailable("too many requests wait for a connection");
    } else if (found != null) {
      waiter.ready(found);
    } else {
      connect(waiter);
    }
  }

  /** Takes a connection back. */
  void release(PooledConnection connection, boolean reusable) {
    if (!reusable || !connection.isOpen()) {
      IoUtils.safeClose(connection.connection());
      return;
    }
    Waiter next;
    synchronized (this) {
      next = pollWaiting();
      if (next == null) {
        connection.idleSince(clock.getAsLong());
        idle.addFirst(connection);
      }
    }
    if (next != null) {
      next.ready(connection);
    }
  }

  /** Closes the connections that were idle for too long. */
  void closeIdle(long now, long idleNanos) {
    List<PooledConnection> old = new ArrayList<>();
    synchronized (this) {
      for (Iterator<PooledConnection> i = idle.iterator(); i.hasNext(); ) {
        PooledConnection candidate = i.next();
        if (now - candidate.idleSince() >= idleNanos) {
          i.remove();
          old.add(candidate);
        }
      }
    }
    old.forEach(c -> IoUtils.safeClose(c.connection()));
  }

  synchronized int openConnections() {
    return open;
  }

  private int limit(Waiter waiter) {
    return settings.maxConnections() + (waiter.urgent() ? settings.reservedConnections() : 0);
  }

  private void enqueue(Waiter waiter) {
    if (waiter.urgent()) {
      waiting.addFirst(waiter);
    } else {
      waiting.addLast(waiter);
    }
  }

  /** Forgets requests that were given up; says whether there were any. */
  private boolean dropAbandoned() {
    return waiting.removeIf(Waiter::abandoned);
  }

  private PooledConnection pollIdle() {
    PooledConnection candidate = idle.pollFirst();
    while (candidate != null && !candidate.isOpen()) {
      candidate = idle.pollFirst();
    }
    return candidate;
  }

  private Waiter pollWaiting() {
    Waiter next = waiting.pollFirst();
    while (next != null && next.abandoned()) {
      next = waiting.pollFirst();
    }
    return next;
  }

  private void connect(Waiter waiter) {
    URI uri = URI.create("http://" + address.hostHeader());
    UndertowClient.getInstance()
        .connect(
            new ClientCallback<ClientConnection>() {
              @Override
              public void completed(ClientConnection connection) {
                opened(connection, waiter);
              }

              @Override
              public void failed(IOException e) {
                closed();
                waiter.unavailable(String.valueOf(e.getMessage()));
              }
            },
            uri,
            worker.worker(),
            worker.buffers(),
            OPTIONS);
  }

  private void opened(ClientConnection connection, Waiter waiter) {
    PooledConnection pooled = new PooledConnection(connection, this);
    connection.addCloseListener(
        c -> {
          synchronized (this) {
            idle.remove(pooled);
          }
          closed();
        });
    waiter.ready(pooled);
  }

  private void closed() {
    Waiter next;
    synchronized (this) {
      open--;
      next = pollWaiting();
      if (next != null) {
        open++;
      }
    }
    if (next != null) {
      connect(next);
    }
  }
}
