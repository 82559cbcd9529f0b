/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

import java.util.concurrent.CompletableFuture;

/**
 * An open watch of a collection. After it is closed, no event is delivered.
 *
 * @since 0.1
 */
public interface Watch extends AutoCloseable {

  /**
   * Returns a future for the end of the watch.
   *
   * @return a future that completes when the watch times out or is closed, and fails with {@link
   *     ObjectApiException}
   */
  CompletableFuture<Void> ended();

  /**
   * Returns whether an answer with changes is being received. A large one takes some time, in which
   * nothing is delivered.
   */
  default boolean isReceiving() {
    return false;
  }

  @Override
  void close();
}
