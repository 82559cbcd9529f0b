/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

/**
 * Whether an upstream gets requests: ejected after failures in a row, then probed by one request.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class Health {
  private static final int MAX_DOUBLINGS = 5;

  private enum State {
    UP,
    EJECTED,
    PROBING
  }

  private final int ejectAfter;
  private final long ejectNanos;
  private State state = State.UP;
  private int failures;
  private int ejections;

  /**
   * Creates the health of a new upstream, which gets requests.
   *
   * @param ejectAfter failures in a row that eject
   * @param ejectNanos the first ejection
   */
  public Health(int ejectAfter, long ejectNanos) {
    this.ejectAfter = ejectAfter;
    this.ejectNanos = ejectNanos;
  }

  /**
   * Counts a failure.
   *
   * @return how long the upstream is to be ejected, 0 if it is not
   */
  public long failed() {
    failures++;
    if (state == State.EJECTED || (state == State.UP && failures < ejectAfter)) {
      return 0;
    }
    return eject();
  }

  /**
   * Ejects the upstream at once.
   *
   * @return how long
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
  public boolean succeeded() {
    failures = 0;
    if (state != State.PROBING) {
      return false;
    }
    state = State.UP;
    ejections = 0;
    return true;
  }

  /**
   * The upstream answers again, or has started anew.
   *
   * @return true if this ends an ejection
   */
  public boolean restore() {
    final boolean wasOut = state != State.UP;
    state = State.UP;
    failures = 0;
    ejections = 0;
    return wasOut;
  }

  /** The ejection is over; one request probes the upstream. */
  public void probe() {
    if (state == State.EJECTED) {
      state = State.PROBING;
    }
  }

  /**
   * Tells whether the upstream may get a request.
   *
   * @param outstanding attempts that it has of this node
   * @return true if so
   */
  public boolean takes(int outstanding) {
    return state == State.UP || (state == State.PROBING && outstanding == 0);
  }

  /**
   * Tells whether the upstream is ejected or not yet restored.
   *
   * @return true if so
   */
  public boolean isOut() {
    return state != State.UP;
  }
}
