/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.upstream;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.larkkeel.http.HttpConnector;
import org.larkkeel.http.HttpWorker;
import org.xnio.IoUtils;

/**
 * A bounded pool of connections to one destination.
 *
 * <p>Invariants: at most {@code maxConnections} connections are open or being opened for requests,
 * plus {@code reservedConnections} for urgent use; a connection is either idle or assigned to
 * exactly one request. Safe for use by several threads; callbacks run outside the lock.
 */
final class ConnectionPool {
  private final Destination destination;
  private final TunnelOpener tunnels;
  private final UpstreamClientSettings settings;
  private final HttpWorker worker;
  private final LongSupplier clock;
  private final Deque<PooledConnection> idle = new ArrayDeque<>();
  private final Deque<Waiter> waiters = new ArrayDeque<>();
  private int openCount;

  ConnectionPool(
      Destination destination,
      TunnelOpener tunnels,
      UpstreamClientSettings settings,
      HttpWorker worker,
      LongSupplier clock) {
    this.destination = destination;
    this.tunnels = tunnels;
    this.settings = settings;
    this.worker = worker;
    this.clock = clock;
  }

  /**
   * A request that needs a connection. For each {@code acquire}, exactly one of {@link
   * #onConnection}, {@link #onUnavailable} and {@link #onConnectFailed} is called, once.
   */
  interface Waiter {
    /** Receives a connection, which must be released. */
    void onConnection(PooledConnection connection);

    /** Is notified that a connection is being opened for it. */
    void onConnecting();

    /** Is notified that the pool has no connection for it and opens none. */
    void onUnavailable(String detail);

    /** Is notified that the connection could not be opened. */
    void onConnectFailed(ConnectFailure failure, String detail);

    /** Returns whether the connection is no longer needed. */
    boolean isAbandoned();

    /** Returns whether the reserved connections may be used. */
    boolean isUrgent();

    /** Returns whether a connection that carried other requests may be used. */
    boolean accepts(PooledConnection used);
  }

  void acquire(Waiter waiter) {
    PooledConnection found;
    List<PooledConnection> surplus = new ArrayList<>();
    boolean queued = false;
    boolean queueFull = false;
    synchronized (this) {
      found = pollIdle(waiter, surplus);
      if (found == null && openCount < connectionLimit(waiter)) {
        openCount++;
      } else if (found == null) {
        queueFull = waiters.size() >= settings.maxWaiting() && !dropAbandoned();
        if (!queueFull) {
          enqueue(waiter);
          queued = true;
          // No idle connection suits the waiter, which gets a new one in the place of the oldest.
          if (!idle.isEmpty()) {
            surplus.add(idle.pollLast());
          }
        }
      }
    }
    surplus.forEach(c -> IoUtils.safeClose(c.connection()));
    if (queued) {
      return;
    }
    if (queueFull) {
      waiter.onUnavailable("the queue for connections to the upstream is full");
    } else if (found != null) {
      waiter.onConnection(found);
    } else {
      connect(waiter);
    }
  }

  /** Returns a connection to the pool, or closes it if it cannot be reused. */
  void release(PooledConnection connection, boolean reusable) {
    if (!reusable || !connection.isOpen()) {
      IoUtils.safeClose(connection.connection());
      return;
    }
    Waiter next;
    synchronized (this) {
      connection.idleSince(clock.getAsLong());
      next = pollWaiter(connection);
      if (next == null) {
        idle.addFirst(connection);
      }
    }
    if (next != null) {
      next.onConnection(connection);
    }
  }

  /** Closes the connections that have been idle for at least {@code idleNanos}. */
  void closeIdle(long now, long idleNanos) {
    List<PooledConnection> expired = new ArrayList<>();
    synchronized (this) {
      for (Iterator<PooledConnection> i = idle.iterator(); i.hasNext(); ) {
        PooledConnection candidate = i.next();
        if (now - candidate.idleSince() >= idleNanos) {
          i.remove();
          expired.add(candidate);
        }
      }
    }
    expired.forEach(c -> IoUtils.safeClose(c.connection()));
  }

  synchronized int openConnections() {
    return openCount;
  }

  private int connectionLimit(Waiter waiter) {
    return settings.maxConnections() + (waiter.isUrgent() ? settings.reservedConnections() : 0);
  }

  private void enqueue(Waiter waiter) {
    if (waiter.isUrgent()) {
      waiters.addFirst(waiter);
    } else {
      waiters.addLast(waiter);
    }
  }

  /** Removes abandoned requests from the queue; returns whether there were any. */
  private boolean dropAbandoned() {
    return waiters.removeIf(Waiter::isAbandoned);
  }

  /**
   * Removes and returns the idle connection that was used last and suits a request, or null.
   *
   * @param unusable gets the connections that no request can use, which are removed
   */
  private PooledConnection pollIdle(Waiter waiter, List<PooledConnection> unusable) {
    for (Iterator<PooledConnection> i = idle.iterator(); i.hasNext(); ) {
      PooledConnection candidate = i.next();
      if (!isReusable(candidate)) {
        i.remove();
        unusable.add(candidate);
      } else if (waiter.accepts(candidate)) {
        i.remove();
        return candidate;
      }
    }
    return null;
  }

  private boolean isReusable(PooledConnection candidate) {
    return candidate.isOpen()
        && (destination instanceof Destination.Direct
            || tunnels.isReusable(candidate.connection()));
  }

  /** Removes and returns the first waiter, or null; drops the abandoned ones before it. */
  private Waiter pollWaiter() {
    Waiter next = waiters.pollFirst();
    while (next != null && next.isAbandoned()) {
      next = waiters.pollFirst();
    }
    return next;
  }

  /** Removes and returns the first waiter that may use a connection, or null. */
  private Waiter pollWaiter(PooledConnection used) {
    dropAbandoned();
    for (Iterator<Waiter> i = waiters.iterator(); i.hasNext(); ) {
      Waiter candidate = i.next();
      if (candidate.accepts(used)) {
        i.remove();
        return candidate;
      }
    }
    return null;
  }

  private void connect(Waiter waiter) {
    waiter.onConnecting();
    switch (destination) {
      case Destination.Direct d -> connectDirectly(d, waiter);
      case Destination.Tunnel t -> tunnels.open(t, new TunnelResult(waiter));
    }
  }

  private void connectDirectly(Destination.Direct direct, Waiter waiter) {
    HttpConnector.connect(
        worker,
        worker.worker().getIoThread(),
        Optional.empty(),
        direct.address().hostHeader(),
        settings.maxOverheadBytes(),
        connection -> {},
        new HttpConnector.Callback() {
          @Override
          public void opened(HttpConnector.Opened connection) {
            onOpened(connection, waiter);
          }

          @Override
          public void failed(IOException e) {
            onClosed();
            waiter.onConnectFailed(ConnectFailure.REFUSED, String.valueOf(e.getMessage()));
          }
        });
  }

  /** Passes the result of opening a tunnel on to a waiting request. */
  private final class TunnelResult implements TunnelOpener.Result {
    private final Waiter waiter;

    TunnelResult(Waiter waiter) {
      this.waiter = waiter;
    }

    @Override
    public void opened(HttpConnector.Opened connection) {
      onOpened(connection, waiter);
    }

    @Override
    public void failed(ConnectFailure failure, String detail) {
      onClosed();
      waiter.onConnectFailed(failure, detail);
    }
  }

  private void onOpened(HttpConnector.Opened connection, Waiter waiter) {
    PooledConnection pooled = new PooledConnection(connection, this);
    connection
        .http()
        .addCloseListener(
            c -> {
              synchronized (this) {
                idle.remove(pooled);
              }
              onClosed();
            });
    waiter.onConnection(pooled);
  }

  private void onClosed() {
    Waiter next;
    synchronized (this) {
      openCount--;
      next = pollWaiter();
      if (next != null) {
        openCount++;
      }
    }
    if (next != null) {
      connect(next);
    }
  }
}
