/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.order;

import org.larkkeel.lib.FencingNumber;
import org.larkkeel.lib.UpstreamName;

/**
 * Hears what became of orders.
 *
 * @since 0.1
 */
public interface OrderListener {
  /**
   * An order has ended.
   *
   * @param upstream the engine
   * @param order the order
   * @param fencing the number that it carried
   * @param result what became of it
   */
  void ordered(UpstreamName upstream, Order order, FencingNumber fencing, OrderResult result);

  /**
   * The weight store has answered.
   *
   * @param upstream the engine
   * @param model the weights
   * @param result the answer
   */
  void pulled(UpstreamName upstream, ModelVersion model, PullResult result);
}
