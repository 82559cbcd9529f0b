/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.overload;

/**
 * The times by which a waiting call needs its reservation.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param targetAt the latest time at which its work must begin to meet its target
 * @param abandonAt the latest time at which its work must begin before its caller abandons it
 * @param deadlineAt the time until which its caller waits at most
 * @since 0.1
 */
public record CallLimits(long targetAt, long abandonAt, long deadlineAt) {
  /** The time that a call needs from its reservation to its first event, in nanoseconds. */
  public static final long FIRST_EVENT_LEAD_NANOS = 200_000_000L;

  /** The minimum time after which callers abandon a call without a first event, in nanoseconds. */
  public static final long MIN_ABANDON_NANOS = 2_000_000_000L;

  private static final long ABANDON_TARGETS = 4;
  private static final long ABANDON_GAPS = 8;

  /**
   * Returns the limits of a call.
   *
   * @param arrivedAt the arrival of this attempt of the caller
   * @param targetNanos the time within which the first event is on target
   * @param gapNanos the longest pause between events that is on target; 0 for none
   * @param deadlineAt the time until which the caller waits at most
   */
  public static CallLimits of(long arrivedAt, long targetNanos, long gapNanos, long deadlineAt) {
    return within(arrivedAt, targetNanos, abandonNanos(targetNanos, gapNanos), deadlineAt);
  }

  /** Returns the time after which callers abandon a call without a first event, in nanoseconds. */
  public static long abandonNanos(long targetNanos, long gapNanos) {
    return Math.max(
        MIN_ABANDON_NANOS, Math.max(ABANDON_TARGETS * targetNanos, ABANDON_GAPS * gapNanos));
  }

  /**
   * Returns the limits of a call whose caller's patience is known.
   *
   * @param arrivedAt the arrival of this attempt of the caller
   * @param targetNanos the time within which the first event is on target
   * @param abandonNanos the time after which the caller abandons a call without a first event
   * @param deadlineAt the time until which the caller waits at most
   */
  public static CallLimits within(
      long arrivedAt, long targetNanos, long abandonNanos, long deadlineAt) {
    return new CallLimits(
        Math.min(arrivedAt + targetNanos, deadlineAt) - FIRST_EVENT_LEAD_NANOS,
        Math.min(arrivedAt + abandonNanos, deadlineAt) - FIRST_EVENT_LEAD_NANOS,
        deadlineAt);
  }

  /** Returns whether these are limits by which a call is never rejected. */
  boolean isUnbounded() {
    return abandonAt == Long.MAX_VALUE;
  }

  /**
   * Returns the limits of a call whose caller's patience is not known or that may have run, so that
   * it is never rejected by a forecast.
   *
   * @param arrivedAt the arrival of this attempt of the caller
   * @param targetNanos the time within which the first event is on target
   */
  public static CallLimits unbounded(long arrivedAt, long targetNanos) {
    return new CallLimits(
        arrivedAt + targetNanos - FIRST_EVENT_LEAD_NANOS, Long.MAX_VALUE, Long.MAX_VALUE);
  }
}
