/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.overload;

import java.util.OptionalLong;

/**
 * Spreads the retries of rejected callers over the capacity that is forecast to become free.
 *
 * <p>Invariant: each interval of {@link #INTERVAL_NANOS} is promised at most the units that become
 * free in it by the rate of the claim. A call that is larger than what is left of one interval
 * claims of several, and its caller is told to return at the end of the last of them. Not
 * thread-safe.
 *
 * @since 0.1
 */
public final class ReturnSchedule {
  /** The length of an interval, in nanoseconds. */
  public static final long INTERVAL_NANOS = 100_000_000L;

  /** The share of the time left up to which callers honour a Retry-After: one in this number. */
  private static final long TIME_LEFT_PARTS = 3;

  /** The number of intervals; 15 s exceeds a third of the longest deadline. */
  private static final int INTERVALS = 150;

  private final double[] promised = new double[INTERVALS];

  /** The first interval that the schedule covers; earlier ones have passed. */
  private long first = Long.MIN_VALUE;

  /** Returns the latest Retry-After that a caller honours, in nanoseconds from now. */
  public static long maxRetryAfterNanos(long at, long deadlineAt) {
    return Math.max(0, deadlineAt - at) / TIME_LEFT_PARTS;
  }

  /**
   * Claims capacity for the retry of a rejected call.
   *
   * @param at now
   * @param turnAt the time at which the call would have got its turn by waiting
   * @param deadlineAt the time until which its caller waits at most
   * @param units the units of the call
   * @param unitsPerNano the rate at which units become free, above 0
   * @return the Retry-After in nanoseconds; empty, with nothing claimed, if the capacity left
   *     before the latest time that the caller honours is too small
   */
  public OptionalLong claim(
      long at, long turnAt, long deadlineAt, long units, double unitsPerNano) {
    advance(at);
    double capacity = unitsPerNano * INTERVAL_NANOS;
    long latestAt = at + maxRetryAfterNanos(at, deadlineAt);
    // The interval of the turn has begun before it, so that the first whole one follows it.
    long from = Math.floorDiv(Math.max(at, turnAt) + INTERVAL_NANOS - 1, INTERVAL_NANOS);
    long last = Math.min(Math.floorDiv(latestAt, INTERVAL_NANOS) - 1, first + INTERVALS - 1);
    double missing = units;
    for (long i = from; i <= last; i++) {
      missing -= Math.max(0, capacity - promised[index(i)]);
      if (missing <= 0) {
        promise(from, i, units, capacity);
        return OptionalLong.of((i + 1) * INTERVAL_NANOS - at);
      }
    }
    return OptionalLong.empty();
  }

  private void promise(long from, long last, long units, double capacity) {
    double missing = units;
    for (long i = from; i <= last; i++) {
      double taken = Math.min(missing, Math.max(0, capacity - promised[index(i)]));
      promised[index(i)] += taken;
      missing -= taken;
    }
  }

  /** Returns the units promised in the interval that contains a time. */
  public double promisedUnits(long time) {
    long interval = Math.floorDiv(time, INTERVAL_NANOS);
    boolean isCovered = interval >= first && interval < first + INTERVALS;
    return isCovered ? promised[index(interval)] : 0;
  }

  private void advance(long at) {
    long current = Math.floorDiv(at, INTERVAL_NANOS);
    long passed = first == Long.MIN_VALUE ? INTERVALS : Math.min(INTERVALS, current - first);
    for (long i = 0; i < passed; i++) {
      promised[index(current - 1 - i)] = 0;
    }
    first = Math.max(first, current);
  }

  private static int index(long interval) {
    return (int) Math.floorMod(interval, (long) INTERVALS);
  }
}
