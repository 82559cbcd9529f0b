/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.platform;

/**
 * A budget of calls: a rate and a burst. Pure; not safe for use by several threads.
 *
 * <p>Invariant: over any time {@code t} at most {@code burst + rate * t} calls are admitted.
 *
 * @since 0.1
 */
public final class TokenBucket {
  private static final double NANOS_PER_SECOND = 1e9;

  private final double perNano;
  private final double burst;
  private double tokens;
  private long updated;

  /**
   * Creates a full bucket.
   *
   * @param perSecond calls a second, positive
   * @param burst calls at once, at least 1
   * @param now the time in nanoseconds
   */
  public TokenBucket(double perSecond, double burst, long now) {
    if (perSecond <= 0 || burst < 1) {
      throw new IllegalArgumentException(
          "the call budget is "
              + perSecond
              + " a second with a burst of "
              + burst
              + ": use a positive rate and a burst of at least 1");
    }
    this.perNano = perSecond / NANOS_PER_SECOND;
    this.burst = burst;
    this.tokens = burst;
    this.updated = now;
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
    refill(now);
    long wait = tokens >= 1 ? 0 : (long) Math.ceil((1 - tokens) / perNano);
    if (wait > longest) {
      return -1;
    }
    tokens -= 1;
    return wait;
  }

  /**
   * Empties the bucket, so that it starts slowly after an outage.
   *
   * @param now the time in nanoseconds
   */
  public void drain(long now) {
    refill(now);
    tokens = Math.min(tokens, 0);
  }

  private void refill(long now) {
    tokens = Math.min(burst, tokens + (now - updated) * perNano);
    updated = now;
  }
}
