/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.internal.http;

import io.undertow.client.ClientConnection;
import java.util.concurrent.CompletableFuture;
import org.xnio.IoUtils;

/** A new connection for each call. Confined to the scheduler. */
final class SingleUse implements Connections {
  private final Connector connector;

  SingleUse(Connector connector) {
    this.connector = connector;
  }

  @Override
  public CompletableFuture<ClientConnection> acquire() {
    CompletableFuture<ClientConnection> f = new CompletableFuture<>();
    connector.connect().whenComplete((made, failure) -> connected(f, made, failure));
    return f;
  }

  private static void connected(
      CompletableFuture<ClientConnection> f, ClientConnection made, Throwable failure) {
    if (failure != null) {
      f.completeExceptionally(failure);
    } else if (!f.complete(made)) {
      IoUtils.safeClose(made);
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
