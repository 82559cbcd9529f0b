/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

import org.larkkeel.lib.TokenBucket;

/**
 * A budget of calls: a rate and a burst. Pure; not safe for use by several threads.
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
   * @param perSecond calls a second, positive
   * @param burst calls at once, at least 1
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
   * Takes one token, on credit if need be.
   *
   * @param now the time in nanoseconds
   * @param longest the longest wait accepted, in nanoseconds
   * @return how long to wait before the call, in nanoseconds; -1 if that is longer than accepted,
   *     and then nothing is taken
   */
  public long take(long now, long longest) {
    long wait = bucket.timeUntil(1, now);
    if (wait > longest) {
      return -1;
    }
    bucket.take(1);
    return wait;
  }

  /**
   * Empties the bucket, so that it starts slowly after an outage.
   *
   * @param now the time in nanoseconds
   */
  public void drain(long now) {
    bucket.take(Math.max(0, bucket.level(now)));
  }
}
