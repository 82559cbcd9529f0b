/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.limits;

import org.larkkeel.lib.TokenBucket;

/**
 * A token bucket that holds one second's units and is shared by several nodes, none of which can
 * take all of them at once.
 *
 * <p>Invariant: over any time t at most rate × t plus one second's units are taken. The exception
 * is a single request larger than the bucket: it is granted from a full bucket, whose level then
 * becomes negative. Times are in nanoseconds. Not safe for use by several threads.
 */
final class FairBucket {
  private final TokenBucket bucket;
  private double rate;

  FairBucket(long rate, long now) {
    this.bucket = new TokenBucket(rate, rate, now);
    this.rate = rate;
  }

  void setRate(long newRate, long now) {
    bucket.setRate(newRate, newRate, now);
    rate = newRate;
  }

  /**
   * Takes up to the wanted number of units.
   *
   * <p>One call gets at most half of the level, or one unit if that is more, so that units remain
   * for other nodes. If the bucket is full and {@code nextRequest}, the units of the caller's next
   * request, exceeds its size, the call gets exactly {@code nextRequest}.
   */
  long take(long wanted, long nextRequest, long now) {
    if (wanted <= 0) {
      return 0;
    }
    double level = bucket.level(now);
    if (level >= rate && nextRequest > rate) {
      bucket.take(nextRequest);
      return nextRequest;
    }
    long max = (long) Math.max(Math.min(1, level), level / 2);
    long taken = Math.max(0, Math.min(wanted, max));
    bucket.take(taken);
    return taken;
  }

  void release(long units, long now) {
    bucket.refund(Math.max(0, units), now);
  }

  /** Returns the nanoseconds until the given number of units is available. */
  long timeUntil(long units, long now) {
    return bucket.timeUntil(units, now);
  }
}
