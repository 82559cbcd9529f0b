/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.internal.http;

import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

/**
 * A call in progress that may wait for a long time. Closing it cancels the call and resets its
 * connection, so that the service ends it too. Thread-safe.
 *
 * @param answer completes with the answer; fails if none is received or the call is cancelled
 * @param cancelAction cancels the call
 * @param receiving returns whether the answer has begun
 * @param <T> the type of the answer
 */
public record PendingCall<T>(
    CompletableFuture<T> answer, Runnable cancelAction, BooleanSupplier receiving)
    implements AutoCloseable {
  @Override
  public void close() {
    cancelAction.run();
  }
}
