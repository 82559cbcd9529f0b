/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.internal.http;

import io.undertow.client.ClientConnection;
import java.util.concurrent.CompletableFuture;

/** Where a call has its connection from. Used on the scheduler. */
interface Connections {
  /**
   * Asks for a connection; cancelling the future gives it up.
   *
   * @return gets a connection, which must be released
   */
  CompletableFuture<ClientConnection> acquire();

  /**
   * Takes a connection back.
   *
   * @param c the connection
   * @param reusable whether the call on it got its whole answer
   */
  void release(ClientConnection c, boolean reusable);
}
