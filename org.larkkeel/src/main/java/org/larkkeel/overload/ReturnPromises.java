/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.overload;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The rejected callers that were told when to return.
 *
 * <p>Invariant: holds at most {@link #MAX_ENTRIES} promises, none older than {@link
 * #MAX_AGE_NANOS}. Not thread-safe.
 *
 * @param <I> the type of the identities of requests, equal for all retries of a caller's request
 * @since 0.1
 */
public final class ReturnPromises<I> {
  /** The maximum number of promises. */
  public static final int MAX_ENTRIES = 10_000;

  /** The time for which a promise is remembered, in nanoseconds; no deadline is longer. */
  public static final long MAX_AGE_NANOS = 15_000_000_000L;

  /** The time after its Retry-After within which a caller's retry is on time, in nanoseconds. */
  public static final long ON_TIME_NANOS = 500_000_000L;

  private final Map<I, Promise> promises = new LinkedHashMap<>();
  private long promised;
  private long returnedOnTime;
  private long served;

  private record Promise(long madeAt, long dueAt) {}

  /** How a call relates to the promises. */
  public enum Match {
    /** Its caller was promised nothing. */
    NONE,
    /** Its caller returned before or long after its Retry-After. */
    OFF_TIME,
    /** Its caller returned at its Retry-After. */
    ON_TIME
  }

  /** Records that the caller of a rejected request was told to return. */
  public void promise(long at, I identity, long retryAfterNanos) {
    dropOld(at);
    promises.remove(identity);
    if (promises.size() >= MAX_ENTRIES) {
      Iterator<I> oldest = promises.keySet().iterator();
      oldest.next();
      oldest.remove();
    }
    promises.put(identity, new Promise(at, at + retryAfterNanos));
    promised++;
  }

  /**
   * Handles the arrival of a request; a promise is used up by the first arrival.
   *
   * @param at now, at which old promises are dropped
   * @param arrivedAt the arrival of the request at its node
   * @param identity its identity
   */
  public Match arrived(long at, long arrivedAt, I identity) {
    dropOld(at);
    Promise promise = promises.remove(identity);
    if (promise == null) {
      return Match.NONE;
    }
    long late = arrivedAt - promise.dueAt();
    if (late < 0 || late > ON_TIME_NANOS) {
      return Match.OFF_TIME;
    }
    returnedOnTime++;
    return Match.ON_TIME;
  }

  /** Records that a call whose caller returned on time got its reservation. */
  public void served() {
    served++;
  }

  private void dropOld(long at) {
    Iterator<Promise> i = promises.values().iterator();
    while (i.hasNext() && at - i.next().madeAt() > MAX_AGE_NANOS) {
      i.remove();
    }
  }

  /** Returns the number of remembered promises. */
  public int size() {
    return promises.size();
  }

  /** Returns the number of promises made. */
  public long promisedCount() {
    return promised;
  }

  /** Returns the number of callers that returned on time. */
  public long returnedOnTimeCount() {
    return returnedOnTime;
  }

  /** Returns the number of callers that returned on time and got a reservation. */
  public long servedCount() {
    return served;
  }
}
