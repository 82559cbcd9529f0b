/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.upstream;

import io.undertow.client.ClientConnection;
import java.io.IOException;
import org.xnio.IoUtils;
import org.xnio.Options;
import org.xnio.StreamConnection;

/**
 * A connection of a pool.
 *
 * <p>Used by one request at a time; the time of idleness is guarded by the pool.
 */
final class PooledConnection {
  private final ClientConnection connection;
  private final ConnectionPool pool;
  private long idleSince;
  private boolean used;

  PooledConnection(ClientConnection connection, ConnectionPool pool) {
    this.connection = connection;
    this.pool = pool;
  }

  ClientConnection connection() {
    return connection;
  }

  boolean isOpen() {
    return connection.isOpen();
  }

  /** Marks the connection as used and tells whether it was used before. */
  boolean markUsed() {
    boolean before = used;
    used = true;
    return before;
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
   * Resets the connection, so that the upstream ends what it does for it.
   *
   * <p>Closing it in the ordinary way waits for the rest of the answer first, for up to 10 s in
   * which the upstream learns nothing and goes on with work that nobody takes. The connection is
   * taken out of the HTTP client for that, whose close is the one that waits.
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
