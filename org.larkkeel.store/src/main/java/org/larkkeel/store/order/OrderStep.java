/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.order;

import org.larkkeel.lib.FencingNumber;
import org.larkkeel.lib.UpstreamName;

/**
 * One thing for the controller to do now.
 *
 * @since 0.1
 */
public sealed interface OrderStep {
  /**
   * The engine.
   *
   * @return its name, never null
   */
  UpstreamName upstream();

  /**
   * Send an order.
   *
   * @param upstream the engine, never null
   * @param fencing the number to send with it, never null
   * @param order the order, never null
   */
  record Send(UpstreamName upstream, FencingNumber fencing, Order order) implements OrderStep {}

  /**
   * Ask an engine what it does.
   *
   * @param upstream the engine, never null
   */
  record ReadBack(UpstreamName upstream) implements OrderStep {}

  /**
   * Have the weight store send a model.
   *
   * @param upstream the engine, never null
   * @param model the weights, never null
   */
  record Pull(UpstreamName upstream, ModelVersion model) implements OrderStep {}
}
