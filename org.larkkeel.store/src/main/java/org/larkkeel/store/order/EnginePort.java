/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.order;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.larkkeel.config.Upstream;
import org.larkkeel.lib.FencingNumber;

/**
 * The calls to engines that read their shape and send orders. Thread-safe.
 *
 * @since 0.1
 */
public interface EnginePort {
  /**
   * Reads the current shape of an engine.
   *
   * @param upstream the engine
   * @return the engine's report; the future may fail with any exception
   */
  CompletableFuture<EngineReport> read(Upstream upstream);

  /**
   * Sends an order, at most once.
   *
   * @param upstream the engine
   * @param fencing the fencing number to send with the order
   * @param order the order
   * @param isAllowed checked immediately before the first byte is written; if false, nothing is
   *     sent
   * @param timeout the maximum wait for the answer
   * @return the result; the future never fails
   */
  CompletableFuture<OrderResult> order(
      Upstream upstream,
      FencingNumber fencing,
      Order order,
      BooleanSupplier isAllowed,
      Duration timeout);
}
