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
 * The calls about orders to engines. Safe for use by several threads.
 *
 * @since 0.1
 */
public interface EnginePort {
  /**
   * Asks an engine what is in force.
   *
   * @param upstream the engine
   * @return what it says, or a failure of any kind
   */
  CompletableFuture<EngineReport> read(Upstream upstream);

  /**
   * Sends an order, at most once.
   *
   * @param upstream the engine
   * @param fencing the number to send with it
   * @param order the order
   * @param allowed asked immediately before the first byte; if false nothing is sent
   * @param timeout how long to wait for the answer
   * @return what became of it; never fails
   */
  CompletableFuture<OrderResult> order(
      Upstream upstream,
      FencingNumber fencing,
      Order order,
      BooleanSupplier allowed,
      Duration timeout);
}
