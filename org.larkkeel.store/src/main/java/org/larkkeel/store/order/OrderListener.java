/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.order;

import org.larkkeel.lib.FencingNumber;
import org.larkkeel.lib.UpstreamName;

/**
 * Receives the results of orders and of pulls of weights.
 *
 * @since 0.1
 */
public interface OrderListener {
  /**
   * Called when the result of an order is known.
   *
   * @param upstream the engine
   * @param order the order
   * @param fencing the fencing number of the order
   * @param result the result of the order
   */
  void ordered(UpstreamName upstream, Order order, FencingNumber fencing, OrderResult result);

  /**
   * Called when the result of a pull is known.
   *
   * @param upstream the engine
   * @param model the model whose weights were requested
   * @param result the weight store's answer
   */
  void pulled(UpstreamName upstream, ModelVersion model, PullResult result);
}
