/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

/**
 * The ejection state of one upstream: ejected after consecutive failures, then probed by one
 * request that restores it or ejects it again.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class Health {
  private static final int MAX_DOUBLINGS = 5;

  private enum State {
    HEALTHY,
    EJECTED,
    PROBING
  }

  private final int ejectAfter;
  private final long ejectNanos;
  private State state = State.HEALTHY;
  private int failures;
  private int ejections;

  /**
   * Creates the state of a healthy upstream.
   *
   * @param ejectAfter the number of consecutive failures that ejects the upstream
   * @param ejectNanos the duration of the first ejection, in nanoseconds
   */
  public Health(int ejectAfter, long ejectNanos) {
    this.ejectAfter = ejectAfter;
    this.ejectNanos = ejectNanos;
  }

  /**
   * Counts a failure.
   *
   * @return the duration of the ejection in nanoseconds; 0 if the failure does not start one
   */
  public long recordFailure() {
    failures++;
    if (state == State.EJECTED || (state == State.HEALTHY && failures < ejectAfter)) {
      return 0;
    }
    return eject();
  }

  /**
   * Ejects the upstream at once.
   *
   * @return the duration of the ejection in nanoseconds
   */
  public long eject() {
    state = State.EJECTED;
    failures = 0;
    long nanos = ejectNanos << Math.min(ejections, MAX_DOUBLINGS);
    ejections++;
    return nanos;
  }

  /**
   * Counts a success.
   *
   * @return true if this ends an ejection
   */
  public boolean recordSuccess() {
    failures = 0;
    if (state != State.PROBING) {
      return false;
    }
    state = State.HEALTHY;
    ejections = 0;
    return true;
  }

  /**
   * Ends an ejection because the upstream answers again or has restarted.
   *
   * @return true if this ends an ejection
   */
  public boolean restore() {
    final boolean wasEjected = state != State.HEALTHY;
    state = State.HEALTHY;
    failures = 0;
    ejections = 0;
    return wasEjected;
  }

  /** Ends the ejection; from now on, one request at a time probes the upstream. */
  public void startProbing() {
    if (state == State.EJECTED) {
      state = State.PROBING;
    }
  }

  /**
   * Returns whether the upstream may get another request.
   *
   * @param outstanding the number of attempts of this node at the upstream
   * @return true if it is healthy, or is being probed and has no attempt
   */
  public boolean accepts(int outstanding) {
    return state == State.HEALTHY || (state == State.PROBING && outstanding == 0);
  }

  /**
   * Returns whether the upstream is ejected or being probed.
   *
   * @return true if so
   */
  public boolean isEjectedOrProbing() {
    return state != State.HEALTHY;
  }
}
