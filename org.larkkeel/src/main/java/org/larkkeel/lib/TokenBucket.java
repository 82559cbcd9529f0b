/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.lib;

/**
 * A token bucket: a level that rises at a constant rate up to a capacity and is lowered by taking
 * units.
 *
 * <p>The bucket only counts: its user decides how much to take and may take more than the level,
 * which leaves a debt. Invariant: the level is at most the capacity. Callers pass the times in
 * nanoseconds; a time before the latest one counts as the latest. Not safe for use by several
 * threads.
 *
 * @since 0.1
 */
public final class TokenBucket {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double MIN_RATE = 1e-9;

  private double rate;
  private double capacity;
  private double level;
  private long updatedAt;

  /**
   * Creates a full bucket.
   *
   * @param perSecond units gained per second, at least 0
   * @param capacity the maximum number of units, at least 0
   * @param now the current time, in nanoseconds
   * @throws IllegalArgumentException if a value is less than 0
   */
  public TokenBucket(double perSecond, double capacity, long now) {
    check("perSecond", perSecond);
    check("capacity", capacity);
    this.rate = perSecond;
    this.capacity = capacity;
    this.level = capacity;
    this.updatedAt = now;
  }

  private static void check(String field, double value) {
    if (!(value >= 0)) {
      throw new IllegalArgumentException(field + " is " + value + ": use 0 or more");
    }
  }

  /**
   * Changes the rate and the capacity; units above the new capacity are lost.
   *
   * @param perSecond units gained per second, at least 0
   * @param units the new capacity, at least 0
   * @param now the current time, in nanoseconds
   * @throws IllegalArgumentException if a value is less than 0
   */
  public void setRate(double perSecond, double units, long now) {
    check("perSecond", perSecond);
    check("capacity", units);
    refill(now);
    rate = perSecond;
    capacity = units;
    level = Math.min(level, capacity);
  }

  /**
   * Returns the current level.
   *
   * @param now the current time, in nanoseconds
   * @return the level in units; negative for a debt
   */
  public double level(long now) {
    refill(now);
    return level;
  }

  /**
   * Takes units, leaving a debt if there are fewer.
   *
   * @param units the number of units
   */
  public void take(double units) {
    level -= units;
  }

  /**
   * Returns units to the bucket, up to its capacity.
   *
   * @param units the number of units
   * @param now the current time, in nanoseconds
   */
  public void refund(double units, long now) {
    refill(now);
    level = Math.min(capacity, level + units);
  }

  /**
   * Returns the time until a number of units is available or the bucket is full.
   *
   * @param units the number of units
   * @param now the current time, in nanoseconds
   * @return nanoseconds, rounded up; 0 if they are available
   */
  public long timeUntil(double units, long now) {
    refill(now);
    double missing = Math.min(units, capacity) - level;
    return missing <= 0
        ? 0
        : (long) Math.ceil(missing / Math.max(rate, MIN_RATE) * NANOS_PER_SECOND);
  }

  private void refill(long now) {
    double seconds = Math.max(0, now - updatedAt) / NANOS_PER_SECOND;
    level = Math.min(capacity, level + seconds * rate);
    updatedAt = Math.max(updatedAt, now);
  }
}
