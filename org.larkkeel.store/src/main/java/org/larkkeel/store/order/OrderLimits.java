/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.order;

import java.time.Duration;

/**
 * Bounds of the planning. Immutable.
 *
 * @param leaseDuration how long the controller's lease lasts without renewal
 * @param longestPause the longest time that a process may be paused and then send an order whose
 *     lease it checked before; also covers the order's way. It protects engines that ignore old
 *     fencing numbers, and nothing else rests on it.
 * @param orderTimeout the longest time that an order may take; none is sent closer to the end of
 *     the lease
 * @param maxPulls weights in transfer at once, so that the weight store's rate is kept
 * @since 0.1
 */
public record OrderLimits(
    Duration leaseDuration, Duration longestPause, Duration orderTimeout, int maxPulls) {
  /** The usual bounds. */
  public static final OrderLimits DEFAULT =
      new OrderLimits(Duration.ofSeconds(8), Duration.ofSeconds(60), Duration.ofSeconds(2), 2);
}
