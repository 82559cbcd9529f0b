/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.lib;

/**
 * A level that rises at a constant rate up to a capacity, and from which is taken.
 *
 * <p>It only counts: whoever takes decides how much, and may take more than there is, which leaves
 * a debt. Invariant: the level is at most the capacity. Times are nanoseconds and come from
 * outside; one that is earlier than a time before counts as that. Not safe for use by several
 * threads.
 *
 * @since 0.1
 */
public final class TokenBucket {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double LEAST_RATE = 1e-9;

  private double rate;
  private double capacity;
  private double level;
  private long updatedAt;

  /**
   * Creates a full bucket.
   *
   * @param perSecond units gained a second, at least 0
   * @param capacity the most units saved, at least 0
   * @param now nanoseconds
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
   * Changes rate and capacity; what is above the capacity is lost.
   *
   * @param perSecond units gained a second, at least 0
   * @param units the most units saved, at least 0
   * @param now nanoseconds
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
   * The units that are there.
   *
   * @param now nanoseconds
   * @return the level, less than 0 for a debt
   */
  public double level(long now) {
    refill(now);
    return level;
  }

  /**
   * Takes units, on credit if need be.
   *
   * @param units how many
   */
  public void take(double units) {
    level -= units;
  }

  /**
   * Gives units back, as many as there is room for.
   *
   * @param units how many
   * @param now nanoseconds
   */
  public void giveBack(double units, long now) {
    refill(now);
    level = Math.min(capacity, level + units);
  }

  /**
   * Tells how long it takes until a number of units is there, or the bucket is full.
   *
   * @param units how many
   * @param now nanoseconds
   * @return nanoseconds, rounded up; 0 if they are there
   */
  public long timeUntil(double units, long now) {
    refill(now);
    double missing = Math.min(units, capacity) - level;
    return missing <= 0
        ? 0
        : (long) Math.ceil(missing / Math.max(rate, LEAST_RATE) * NANOS_PER_SECOND);
  }

  private void refill(long now) {
    double seconds = Math.max(0, now - updatedAt) / NANOS_PER_SECOND;
    level = Math.min(capacity, level + seconds * rate);
    updatedAt = Math.max(updatedAt, now);
  }
}
