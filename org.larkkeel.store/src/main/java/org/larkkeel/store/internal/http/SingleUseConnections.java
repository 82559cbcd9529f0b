/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.internal.http;

import io.undertow.client.ClientConnection;
import java.util.concurrent.CompletableFuture;
import org.xnio.IoUtils;

/** Opens a new connection for each call and closes it on release. Confined to the scheduler. */
final class SingleUseConnections implements ConnectionSource {
  private final Connector connector;

  SingleUseConnections(Connector connector) {
    this.connector = connector;
  }

  @Override
  public CompletableFuture<ClientConnection> acquire() {
    CompletableFuture<ClientConnection> f = new CompletableFuture<>();
    connector.connect().whenComplete((made, failure) -> connected(f, made, failure));
    return f;
  }

  private static void connected(
      CompletableFuture<ClientConnection> f, ClientConnection connection, Throwable failure) {
    if (failure != null) {
      f.completeExceptionally(failure);
    } else if (!f.complete(connection)) {
      IoUtils.safeClose(connection);
    }
  }

  @Override
  public void release(ClientConnection c, boolean reusable) {
    if (reusable) {
      IoUtils.safeClose(c);
    } else {
      Connector.reset(c);
    }
  }
}
