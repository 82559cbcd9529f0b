/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

/**
 * A rate limit that saves up for a short burst; something larger than that leaves a debt.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class TokenBucket {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double BURST_SECONDS = 0.2;

  private double rate;
  private double saved;
  private long at;
  private boolean started;

  /**
   * Sets the rate.
   *
   * @param now the time
   * @param perSecond units a second, above 0
   */
  public void setRate(long now, double perSecond) {
    if (!started) {
      started = true;
      at = now;
      rate = perSecond;
      saved = capacity();
      return;
    }
    refill(now);
    rate = perSecond;
    saved = Math.min(saved, capacity());
  }

  /**
   * Tells how long it is until an amount may be taken.
   *
   * @param now the time
   * @param amount units
   * @return nanoseconds; 0 if it may be taken now
   */
  public long waitFor(long now, double amount) {
    refill(now);
    double missing = Math.min(amount, capacity()) - saved;
    if (missing <= 0) {
      return 0;
    }
    return (long) Math.ceil(missing / Math.max(rate, 1e-9) * NANOS_PER_SECOND);
  }

  /**
   * Takes an amount.
   *
   * @param amount units
   */
  public void take(double amount) {
    saved -= amount;
  }

  private void refill(long now) {
    saved = Math.min(capacity(), saved + (now - at) / NANOS_PER_SECOND * rate);
    at = now;
  }

  private double capacity() {
    return Math.max(1, rate * BURST_SECONDS);
  }
}
