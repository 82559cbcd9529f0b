/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.limits;

import org.larkkeel.lib.TokenBucket;

/**
 * A token bucket of one second's units that several nodes take from, so that each gets some.
 *
 * <p>Invariant: over any time t at most rate × t plus one second's worth is taken, but for a single
 * need larger than the bucket, which is met from a full bucket and paid for afterwards. Times are
 * nanoseconds. Not safe for use by several threads.
 */
final class FairBucket {
  private final TokenBucket bucket;
  private double rate;

  FairBucket(long rate, long now) {
    this.bucket = new TokenBucket(rate, rate, now);
    this.rate = rate;
  }

  void setRate(long next, long now) {
    bucket.setRate(next, next, now);
    rate = next;
  }

  /**
   * Takes up to what is wanted. One need is met in full or in part, but nobody gets more than half
   * of what is there beyond a first unit, so that others get some as well.
   */
  long take(long wanted, long single, long now) {
    if (wanted <= 0) {
      return 0;
    }
    double level = bucket.level(now);
    if (level >= rate && single > rate) {
      bucket.take(single);
      return single;
    }
    long most = (long) Math.max(Math.min(1, level), level / 2);
    long taken = Math.max(0, Math.min(wanted, most));
    bucket.take(taken);
    return taken;
  }

  void giveBack(long units, long now) {
    bucket.giveBack(Math.max(0, units), now);
  }

  /** Nanoseconds until a number of units is there. */
  long timeUntil(long units, long now) {
    return bucket.timeUntil(units, now);
  }
}
