/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.internal.http;

import java.util.concurrent.CompletableFuture;

/**
 * A call that may wait for long. Closing it ends it at the other side too.
 *
 * <p>Safe for use by several threads.
 *
 * @param answer gets the answer; fails if there is none, or when the call is given up
 * @param abandonment gives the call up
 * @param <T> the answer
 */
public record PendingCall<T>(CompletableFuture<T> answer, Runnable abandonment)
    implements AutoCloseable {
  @Override
  public void close() {
    abandonment.run();
  }
}
