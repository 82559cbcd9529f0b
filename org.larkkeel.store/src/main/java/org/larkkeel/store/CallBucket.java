/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

import org.larkkeel.lib.TokenBucket;

/**
 * A token bucket for calls, with a rate and a burst. It reads no clock and is not thread-safe.
 *
 * <p>Invariant: over any time {@code t} at most {@code burst + rate * t} calls are admitted.
 *
 * @since 0.1
 */
public final class CallBucket {
  private final TokenBucket bucket;

  /**
   * Creates a full bucket.
   *
   * @param perSecond the rate in calls per second, positive
   * @param burst the number of calls that may be sent at once, at least 1
   * @param now the time in nanoseconds
   */
  public CallBucket(double perSecond, double burst, long now) {
    if (perSecond <= 0 || burst < 1) {
      throw new IllegalArgumentException(
          "the call budget is "
              + perSecond
              + " a second with a burst of "
              + burst
              + ": use a positive rate and a burst of at least 1");
    }
    this.bucket = new TokenBucket(perSecond, burst, now);
  }

  /**
   * Takes one token. If none is available, the level becomes negative and the caller waits until
   * the token has accrued.
   *
   * @param now the time in nanoseconds
   * @param maxWait the maximum wait that the caller accepts, in nanoseconds
   * @return the wait before the call, in nanoseconds; -1 if it exceeds the maximum, in which case
   *     no token is taken
   */
  public long take(long now, long maxWait) {
    long wait = bucket.timeUntil(1, now);
    if (wait > maxWait) {
      return -1;
    }
    bucket.take(1);
    return wait;
  }

  /**
   * Removes all tokens, so that calls resume at the plain rate, without a burst, after an outage.
   *
   * @param now the time in nanoseconds
   */
  public void drain(long now) {
    bucket.take(Math.max(0, bucket.level(now)));
  }
}
