/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

/**
 * The smoothed time that a peer takes to answer reports, and the time after which an unanswered
 * report counts as a failure of the peer.
 *
 * <p>All times are in nanoseconds. Invariant: the timeout is between {@link #MIN_TIMEOUT_NANOS} and
 * {@link #MAX_TIMEOUT_NANOS}. Not thread-safe.
 */
final class AnswerTime {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** The timeout of a fast peer; the successor must grant within 90 ms of a request. */
  static final long MIN_TIMEOUT_NANOS = 60 * NANOS_PER_MILLI;

  /**
   * The maximum timeout: half of the shortest target of generations in contended deployments, 0.8
   * s, so that the successor can still grant in time.
   */
  static final long MAX_TIMEOUT_NANOS = 400 * NANOS_PER_MILLI;

  private static final int TIMEOUT_FACTOR = 4;

  /**
   * The weight of an answer that is slower than the average. It is larger than that of a faster
   * one: one late answer of a peer that was taken for failed must prevent the same mistake.
   */
  private static final double SLOWER_WEIGHT = 0.5;

  private static final double FASTER_WEIGHT = 0.125;

  private boolean isMeasured;
  private double smoothedNanos;

  /** Records the time between a report and its answer. */
  void record(long nanos) {
    if (!isMeasured) {
      isMeasured = true;
      smoothedNanos = nanos;
      return;
    }
    double weight = nanos > smoothedNanos ? SLOWER_WEIGHT : FASTER_WEIGHT;
    smoothedNanos += weight * (nanos - smoothedNanos);
  }

  /** Returns the smoothed answer time; 0 before the first answer. */
  long smoothedNanos() {
    return Math.round(smoothedNanos);
  }

  /** Returns the time after which an unanswered report counts as a failure. */
  long timeoutNanos() {
    return Math.clamp(
        Math.round(TIMEOUT_FACTOR * smoothedNanos), MIN_TIMEOUT_NANOS, MAX_TIMEOUT_NANOS);
  }
}
