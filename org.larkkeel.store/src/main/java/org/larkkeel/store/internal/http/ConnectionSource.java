/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.internal.http;

import io.undertow.client.ClientConnection;
import java.util.concurrent.CompletableFuture;

/** Provides connections for calls. Confined to the scheduler. */
interface ConnectionSource {
  /**
   * Requests a connection. Cancelling the future withdraws the request.
   *
   * @return completes with a connection, which the receiver must release
   */
  CompletableFuture<ClientConnection> acquire();

  /**
   * Releases a connection.
   *
   * @param c the connection
   * @param reusable true if the call on it received the complete response
   */
  void release(ClientConnection c, boolean reusable);
}
