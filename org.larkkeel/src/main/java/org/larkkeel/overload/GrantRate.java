/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.overload;

import java.util.OptionalDouble;

/**
 * Measures the rate at which reservations of a service are granted while calls wait, over the last
 * second.
 *
 * <p>Grants while no call waits do not count: they show the demand and not the capacity. Not
 * thread-safe.
 *
 * @since 0.1
 */
public final class GrantRate {
  /** The length of the measured window, in nanoseconds. */
  public static final long WINDOW_NANOS = 1_000_000_000L;

  private static final int BUCKETS = 20;
  private static final long BUCKET_NANOS = WINDOW_NANOS / BUCKETS;

  /** The minimum time with waiting calls in the window; shorter ones hold a few grants only. */
  private static final long MIN_WAITING_NANOS = 100_000_000L;

  /** The minimum number of grants in the window: the error of a count of four is about a half. */
  private static final int MIN_GRANTS = 4;

  private final long startedAt;
  private final long[] units = new long[BUCKETS];
  private final int[] grants = new int[BUCKETS];
  private final long[] waitingNanos = new long[BUCKETS];
  private long bucket;
  private long updatedAt;
  private boolean waiting;

  /** Creates a measurement that begins at the given time. */
  public GrantRate(long startedAt) {
    this.startedAt = startedAt;
    this.updatedAt = startedAt;
    this.bucket = Math.floorDiv(startedAt, BUCKET_NANOS);
  }

  /** Sets whether calls wait from now on. */
  public void setWaiting(long at, boolean now) {
    advance(at);
    waiting = now;
  }

  /** Records a grant of the given units; it counts if calls wait. */
  public void granted(long at, long grantedUnits) {
    advance(at);
    if (waiting) {
      units[index(bucket)] += grantedUnits;
      grants[index(bucket)]++;
    }
  }

  /**
   * Returns the rate in units per nanosecond, above 0; empty if less than a second has passed since
   * the start, or too little was measured in the window.
   */
  public OptionalDouble unitsPerNano(long at) {
    advance(at);
    long totalUnits = 0;
    long totalWaiting = 0;
    int totalGrants = 0;
    for (int i = 0; i < BUCKETS; i++) {
      totalUnits += units[i];
      totalWaiting += waitingNanos[i];
      totalGrants += grants[i];
    }
    boolean isMeasured =
        at - startedAt >= WINDOW_NANOS
            && totalWaiting >= MIN_WAITING_NANOS
            && totalGrants >= MIN_GRANTS
            && totalUnits > 0;
    return isMeasured
        ? OptionalDouble.of((double) totalUnits / totalWaiting)
        : OptionalDouble.empty();
  }

  /** Moves the window to the given time and accounts the time since the last update. */
  private void advance(long at) {
    long current = Math.floorDiv(at, BUCKET_NANOS);
    if (current - bucket >= BUCKETS) {
      clear();
      updatedAt = Math.max(updatedAt, (current - BUCKETS + 1) * BUCKET_NANOS);
      bucket = current - BUCKETS + 1;
    }
    while (bucket < current) {
      long end = (bucket + 1) * BUCKET_NANOS;
      account(end);
      bucket++;
      units[index(bucket)] = 0;
      grants[index(bucket)] = 0;
      waitingNanos[index(bucket)] = 0;
    }
    account(at);
  }

  private void account(long until) {
    if (until > updatedAt) {
      if (waiting) {
        waitingNanos[index(bucket)] += until - updatedAt;
      }
      updatedAt = until;
    }
  }

  private void clear() {
    for (int i = 0; i < BUCKETS; i++) {
      units[i] = 0;
      grants[i] = 0;
      waitingNanos[i] = 0;
    }
  }

  private static int index(long bucket) {
    return (int) Math.floorMod(bucket, (long) BUCKETS);
  }
}
