/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.overload;

/**
 * An announcement of the reservation coordinator that calls of some ranks of a service would be
 * rejected now.
 *
 * <p>Invariant: it rejects no call that is more urgent than one that it admits. Immutable and safe
 * for use by several threads.
 *
 * @param <R> the type of ranks; a smaller rank is more urgent
 * @param cutoff the most urgent rank whose first tries are rejected
 * @param retryAfterNanos the Retry-After of rejected calls, 0 or more
 * @param announcedAt the time of the announcement, by the clock of this node
 * @since 0.1
 */
public record AdmissionLevel<R extends Comparable<R>>(
    R cutoff, long retryAfterNanos, long announcedAt) {
  /**
   * The time after which a level that is not renewed expires, in nanoseconds, so that a node that
   * is cut off from the coordinator falls back to its own queue.
   */
  public static final long EXPIRY_NANOS = 1_000_000_000L;

  /** The spread of the retries, as a part of the Retry-After: one in this number. */
  private static final int SPREAD_PARTS = 4;

  /** Returns whether the level has not expired. */
  public boolean isInForce(long at) {
    return at - announcedAt < EXPIRY_NANOS;
  }

  /**
   * Returns whether a call is rejected. Streaming calls and callers' retries never are: whether a
   * retry is on time is known to the coordinator only.
   */
  public boolean rejects(long at, R rank, boolean firstTry, boolean streaming) {
    return isInForce(at) && firstTry && !streaming && rank.compareTo(cutoff) >= 0;
  }

  /**
   * Returns the Retry-After of a rejected call in nanoseconds.
   *
   * @param random a random number from 0 inclusive to 1 exclusive
   */
  public long spreadRetryAfterNanos(double random) {
    return retryAfterNanos + (long) (random * retryAfterNanos / SPREAD_PARTS);
  }
}
