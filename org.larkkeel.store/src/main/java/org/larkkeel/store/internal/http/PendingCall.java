/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.internal.http;

import java.util.concurrent.CompletableFuture;

/**
 * A call in progress that may wait for a long time. Closing it cancels the call and resets its
 * connection, so that the service ends it too. Thread-safe.
 *
 * @param answer completes with the answer; fails if none is received or the call is cancelled
 * @param cancelAction cancels the call
 * @param <T> the type of the answer
 */
public record PendingCall<T>(CompletableFuture<T> answer, Runnable cancelAction)
    implements AutoCloseable {
  @Override
  public void close() {
    cancelAction.run();
  }
}
