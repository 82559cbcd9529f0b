/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

import java.util.concurrent.CompletableFuture;

/**
 * A waiting watch. Closing it ends it; no event is delivered afterwards.
 *
 * @since 0.1
 */
public interface Watch extends AutoCloseable {

  /**
   * The end of the watch.
   *
   * @return completes when the watch times out or is closed, fails with {@link ObjectApiException}
   */
  CompletableFuture<Void> ended();

  @Override
  void close();
}
