/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

import java.time.Duration;

/**
 * A circuit breaker for calls to the store.
 *
 * <p>After {@value #FAILURE_THRESHOLD} failures in a row it rejects calls, except one probe at a
 * time, with growing, random delays between probes. The first success admits calls again. It reads
 * no clock and is not thread-safe.
 *
 * <p>Invariant: while the store is considered down, at most one admitted probe is in progress.
 *
 * @since 0.1
 */
public final class StoreCircuitBreaker {
  /** The number of failures in a row after which calls are rejected. */
  public static final int FAILURE_THRESHOLD = 3;

  private final Backoff backoff;
  private State state = State.ADMITTING;
  private int failures;
  private long nextProbeNanos;

  /**
   * Creates a circuit breaker that admits calls.
   *
   * @param backoff the delays between probes
   */
  public StoreCircuitBreaker(Backoff backoff) {
    this.backoff = backoff;
  }

  /**
   * Decides whether a call may be sent. Each admitted call must be followed by {@link #succeeded}
   * or {@link #failed}.
   *
   * @param now the time in nanoseconds
   * @return whether the call may be sent
   */
  public Admission admit(long now) {
    return switch (state) {
      case ADMITTING -> Admission.ADMITTED;
      case PROBING -> Admission.REFUSED;
      case REJECTING -> probe(now);
    };
  }

  /**
   * Returns whether {@link #admit} would refuse a call now, without changing the state.
   *
   * @param now the time in nanoseconds
   * @return true if the call would be refused
   */
  public boolean isRejecting(long now) {
    return switch (state) {
      case ADMITTING -> false;
      case PROBING -> true;
      case REJECTING -> now - nextProbeNanos < 0;
    };
  }

  /**
   * Decides whether a long-running call, such as a watch, may be sent. Such a call never serves as
   * a probe.
   *
   * @return whether the call may be sent
   */
  public Admission admitLongRunning() {
    return state == State.ADMITTING ? Admission.ADMITTED : Admission.REFUSED;
  }

  private Admission probe(long now) {
    if (now - nextProbeNanos < 0) {
      return Admission.REFUSED;
    }
    state = State.PROBING;
    return Admission.ADMITTED;
  }

  /**
   * Records that the store answered.
   *
   * @return true if the store was considered down before
   */
  public boolean succeeded() {
    failures = 0;
    backoff.reset();
    State before = state;
    state = State.ADMITTING;
    return before != State.ADMITTING;
  }

  /**
   * Records that the store did not answer.
   *
   * @param now the time in nanoseconds
   */
  public void failed(long now) {
    failures++;
    if (state == State.ADMITTING && failures < FAILURE_THRESHOLD) {
      return;
    }
    if (state != State.REJECTING) {
      state = State.REJECTING;
      Duration wait = backoff.nextDelay();
      nextProbeNanos = now + wait.toNanos();
    }
  }

  /** The decision about a call. */
  public enum Admission {
    /** The call may be sent. */
    ADMITTED,
    /** The call must fail without being sent. */
    REFUSED
  }

  private enum State {
    ADMITTING,
    REJECTING,
    PROBING
  }
}
