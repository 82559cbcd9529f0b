/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.limits;

import java.util.concurrent.TimeUnit;

/**
 * A token bucket that holds one second's worth of its rate. Not safe for use by several threads.
 *
 * <p>Invariant: over any time t at most rate × t plus one second's worth is taken, but for a single
 * need larger than the bucket, which is met from a full bucket and paid for afterwards.
 */
final class Bucket {
  private static final double SECOND = TimeUnit.SECONDS.toNanos(1);

  private double rate;
  private double level;
  private long updatedAt;

  Bucket(long rate, long now) {
    this.rate = rate;
    this.level = rate;
    this.updatedAt = now;
  }

  void setRate(long next, long now) {
    refill(now);
    rate = next;
    level = Math.min(level, rate);
  }

  /**
   * Takes up to what is wanted. One need is met in full or in part, but nobody gets more than half
   * of what is there beyond a first unit, so that others get some as well.
   */
  long take(long wanted, long single, long now) {
    refill(now);
    if (wanted <= 0) {
      return 0;
    }
    if (level >= rate && single > rate) {
      level -= single;
      return single;
    }
    long most = (long) Math.max(Math.min(1, level), level / 2);
    long taken = Math.max(0, Math.min(wanted, most));
    level -= taken;
    return taken;
  }

  void giveBack(long units, long now) {
    refill(now);
    level = Math.min(rate, level + Math.max(0, units));
  }

  /** Nanoseconds until a number of units is there. */
  long timeUntil(long units, long now) {
    refill(now);
    double missing = Math.min(units, rate) - level;
    return missing <= 0 ? 0 : (long) Math.ceil(missing / rate * SECOND);
  }

  private void refill(long now) {
    double gained = (now - updatedAt) / SECOND * rate;
    level = Math.min(rate, level + Math.max(0, gained));
    updatedAt = Math.max(updatedAt, now);
  }
}
