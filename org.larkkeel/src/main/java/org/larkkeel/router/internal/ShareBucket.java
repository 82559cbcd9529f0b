/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

import org.larkkeel.lib.TokenBucket;

/**
 * A token bucket with a short burst; an amount above the burst leaves a debt.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class ShareBucket {
  private static final double BURST_SECONDS = 0.2;

  private TokenBucket bucket;

  /**
   * Sets the rate of the limit.
   *
   * @param now the time
   * @param perSecond units per second, above 0
   */
  public void setRate(long now, double perSecond) {
    double capacity = Math.max(1, perSecond * BURST_SECONDS);
    if (bucket == null) {
      bucket = new TokenBucket(perSecond, capacity, now);
    } else {
      bucket.setRate(perSecond, capacity, now);
    }
  }

  /**
   * Returns the time until an amount may be taken. The rate must have been set.
   *
   * @param now the time
   * @param amount units
   * @return nanoseconds; 0 if the amount may be taken now
   */
  public long waitFor(long now, double amount) {
    return bucket.timeUntil(amount, now);
  }

  /**
   * Takes an amount; does nothing before a rate is set.
   *
   * @param amount units
   */
  public void take(double amount) {
    if (bucket != null) {
      bucket.take(amount);
    }
  }
}
