/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.order;

import org.larkkeel.lib.FencingNumber;
import org.larkkeel.lib.UpstreamName;

/**
 * A step of a plan, which the controller executes immediately.
 *
 * @since 0.1
 */
public sealed interface OrderStep {
  /**
   * Returns the engine that the step concerns.
   *
   * @return the name of the engine, never null
   */
  UpstreamName upstream();

  /**
   * Sends an order.
   *
   * @param upstream the engine, never null
   * @param fencing the fencing number to send with the order, never null
   * @param order the order, never null
   */
  record Send(UpstreamName upstream, FencingNumber fencing, Order order) implements OrderStep {}

  /**
   * Reads the current shape of an engine.
   *
   * @param upstream the engine, never null
   */
  record ReadBack(UpstreamName upstream) implements OrderStep {}

  /**
   * Requests a transfer of weights from the weight store.
   *
   * @param upstream the engine, never null
   * @param model the model whose weights are transferred, never null
   */
  record Pull(UpstreamName upstream, ModelVersion model) implements OrderStep {}
}
