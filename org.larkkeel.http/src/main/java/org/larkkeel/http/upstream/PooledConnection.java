/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.upstream;

import io.undertow.client.ClientConnection;
import java.io.IOException;
import java.net.InetSocketAddress;
import org.larkkeel.http.HttpConnector;
import org.larkkeel.http.InputLimit;
import org.xnio.IoUtils;
import org.xnio.Options;
import org.xnio.StreamConnection;

/**
 * A connection of a pool.
 *
 * <p>Used by one request at a time; {@code idleSince} is guarded by the lock of the pool.
 */
final class PooledConnection {
  private final ClientConnection connection;
  private final InputLimit limit;
  private final ConnectionPool pool;
  private long idleSince;
  private int requestCount;

  PooledConnection(HttpConnector.Opened opened, ConnectionPool pool) {
    this.connection = opened.http();
    this.limit = opened.limit();
    this.pool = pool;
  }

  ClientConnection connection() {
    return connection;
  }

  /** Returns the limit of the input, for use on the I/O thread of the connection. */
  InputLimit limit() {
    return limit;
  }

  boolean isOpen() {
    return connection.isOpen();
  }

  /**
   * Counts a request.
   *
   * @param now the time of the pool's clock, nanoseconds
   * @return the place of the request on this connection
   */
  ConnectionPosition countRequest(long now) {
    requestCount++;
    InetSocketAddress local = connection.getLocalAddress(InetSocketAddress.class);
    InetSocketAddress remote = connection.getPeerAddress(InetSocketAddress.class);
    return new ConnectionPosition(
        local == null ? 0 : local.getPort(),
        remote == null ? "" : new UpstreamAddress(remote).hostHeader(),
        requestCount,
        requestCount == 1 ? 0 : now - idleSince);
  }

  void idleSince(long now) {
    idleSince = now;
  }

  long idleSince() {
    return idleSince;
  }

  void release(boolean reusable) {
    pool.release(this, reusable);
  }

  /**
   * Resets the connection, so that the upstream stops working on the request.
   *
   * <p>The close of the HTTP client first waits up to 10 s for the rest of the response. During
   * that time the upstream is not notified and continues with unused work. To avoid that wait, the
   * raw connection is detached from the HTTP client before it is closed.
   */
  void reset() {
    try {
      StreamConnection raw = connection.performUpgrade();
      raw.setOption(Options.CLOSE_ABORT, true);
      IoUtils.safeClose(raw);
    } catch (IOException e) {
      IoUtils.safeClose(connection);
    }
  }
}
