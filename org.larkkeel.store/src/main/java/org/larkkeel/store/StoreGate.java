/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

import java.time.Duration;

/**
 * Stops calls to a store that is down, but for one probe at a time at growing, random distances.
 * Pure but for the injected backoff; not safe for use by several threads.
 *
 * <p>Invariant: while closed, at most one call is in progress.
 *
 * @since 0.1
 */
public final class StoreGate {
  /** Failures in a row that close the gate. */
  public static final int FAILURES_TO_CLOSE = 3;

  private final Backoff backoff;
  private State state = State.OPEN;
  private int failures;
  private long probeAt;

  /**
   * Creates an open gate.
   *
   * @param backoff the distances of probes
   */
  public StoreGate(Backoff backoff) {
    this.backoff = backoff;
  }

  /**
   * Asks to make a call; each admitted call must be followed by {@link #succeeded} or {@link
   * #failed}.
   *
   * @param now the time in nanoseconds
   * @return whether the call may be made
   */
  public Admission admit(long now) {
    return switch (state) {
      case OPEN -> Admission.ADMITTED;
      case PROBING -> Admission.REFUSED;
      case CLOSED -> probe(now);
    };
  }

  /**
   * Tells whether a call would be refused now; changes nothing.
   *
   * @param now the time in nanoseconds
   * @return true if {@link #admit} would refuse
   */
  public boolean isShut(long now) {
    return switch (state) {
      case OPEN -> false;
      case PROBING -> true;
      case CLOSED -> now - probeAt < 0;
    };
  }

  /**
   * Asks to make a call that waits long, such as a watch; it is never taken as a probe.
   *
   * @return whether the call may be made
   */
  public Admission admitLong() {
    return state == State.OPEN ? Admission.ADMITTED : Admission.REFUSED;
  }

  private Admission probe(long now) {
    if (now - probeAt < 0) {
      return Admission.REFUSED;
    }
    state = State.PROBING;
    return Admission.ADMITTED;
  }

  /**
   * The store answered.
   *
   * @return true if the gate was not open before
   */
  public boolean succeeded() {
    failures = 0;
    backoff.reset();
    State before = state;
    state = State.OPEN;
    return before != State.OPEN;
  }

  /**
   * The store did not answer.
   *
   * @param now the time in nanoseconds
   */
  public void failed(long now) {
    failures++;
    if (state == State.OPEN && failures < FAILURES_TO_CLOSE) {
      return;
    }
    if (state != State.CLOSED) {
      state = State.CLOSED;
      Duration wait = backoff.next();
      probeAt = now + wait.toNanos();
    }
  }

  /** The answer to a call that asks to be made. */
  public enum Admission {
    /** Make the call. */
    ADMITTED,
    /** Fail at once. */
    REFUSED
  }

  private enum State {
    OPEN,
    CLOSED,
    PROBING
  }
}
