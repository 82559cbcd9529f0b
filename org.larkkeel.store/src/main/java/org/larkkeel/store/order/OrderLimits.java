/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.order;

import java.time.Duration;

/**
 * The limits of the planning of orders. Immutable.
 *
 * @param leaseDuration the time for which the controller's lease is held without renewal
 * @param maxPause the maximum time that a process may be paused between the check of its lease and
 *     the sending of an order, including the transmission of the order. It protects engines that
 *     ignore stale fencing numbers; no other guarantee depends on it.
 * @param orderTimeout the maximum duration of an order; no order is sent closer to the end of the
 *     lease term
 * @param maxPulls the maximum number of concurrent transfers of weights, which keeps them within
 *     the weight store's rate limit
 * @since 0.1
 */
public record OrderLimits(
    Duration leaseDuration, Duration maxPause, Duration orderTimeout, int maxPulls) {
  /** The default limits. */
  public static final OrderLimits DEFAULT =
      new OrderLimits(Duration.ofSeconds(8), Duration.ofSeconds(60), Duration.ofSeconds(2), 2);
}
