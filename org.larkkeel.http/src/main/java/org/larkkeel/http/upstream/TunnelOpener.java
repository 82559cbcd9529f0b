/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.upstream;

import io.undertow.client.ClientConnection;
import org.larkkeel.http.HttpConnector;

/**
 * Opens connections to upstreams through other nodes.
 *
 * <p>Safe for use by several threads.
 *
 * @since 0.1
 */
public interface TunnelOpener {
  /** The opener of a node that knows no other nodes. */
  TunnelOpener NONE =
      (destination, result) -> result.failed(ConnectFailure.TIMED_OUT, "no node offers a tunnel");

  /** Receives the result of opening a tunnel. Exactly one method is called, once. */
  interface Result {
    /** Receives a connection on which the upstream answers. */
    void opened(HttpConnector.Opened connection);

    /**
     * Is notified that no tunnel was opened.
     *
     * @param failure {@link ConnectFailure#REFUSED} if another node found that the upstream refuses
     *     connections
     * @param detail a short description for the log
     */
    void failed(ConnectFailure failure, String detail);
  }

  /**
   * Opens a tunnel.
   *
   * @param destination the upstream
   * @param result receives the result
   */
  void open(Destination.Tunnel destination, Result result);

  /**
   * Returns whether an idle connection through a tunnel may be used for another request.
   *
   * @param connection the connection
   */
  default boolean isReusable(ClientConnection connection) {
    return true;
  }
}
