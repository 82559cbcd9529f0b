/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import org.larkkeel.relay.CallKind;

/**
 * Computes the timeouts of attempts, after which another attempt may take their place. Stateless.
 */
final class AttemptTimeouts {
  private static final long MILLI = 1_000_000L;

  /** The timeout of a repeatable attempt, as a multiple of its estimated duration. */
  private static final double ESTIMATE_FACTOR = 4;

  /** The minimum timeout, as a multiple of the target. */
  private static final double TARGET_FACTOR = 1.5;

  /**
   * The minimum timeout of streams, as a multiple of the target: a stalled stream usually
   * continues, and leaving it costs another prefill; callers give up at four times the target.
   */
  private static final double STREAM_TARGET_FACTOR = 2.5;

  private static final long MIN_PREFILL_TIMEOUT_NANOS = 1_500 * MILLI;

  /** The idle timeout within a resumable stream, as a multiple of the rule's gap between events. */
  private static final long IDLE_GAP_FACTOR = 8;

  private static final long MIN_IDLE_TIMEOUT_NANOS = 2_000 * MILLI;

  private AttemptTimeouts() {}

  /**
   * Returns the timeout of an attempt in nanoseconds; {@link Long#MAX_VALUE} if no other attempt
   * may take its place.
   *
   * @param a the attempt
   * @param unitNanos the expected time of one unit of work at its upstream
   */
  static long timeoutNanos(AttemptState a, double unitNanos) {
    CallState c = a.call();
    long estimateNanos = (long) (ESTIMATE_FACTOR * unitNanos * c.workUnits());
    if (!a.mayRun()) {
      return Math.max(MIN_PREFILL_TIMEOUT_NANOS, estimateNanos);
    }
    if (!c.rule.kind().isRepeatable() || c.runCount >= c.rule.maxRuns()) {
      return Long.MAX_VALUE;
    }
    double targetFactor = c.rule.kind().isStream() ? STREAM_TARGET_FACTOR : TARGET_FACTOR;
    return Math.max((long) (targetFactor * c.rule.targetMillis() * MILLI), estimateNanos);
  }

  /**
   * Returns the maximum pause within the answer to an attempt in nanoseconds; 0 if there is no
   * limit.
   */
  static long idleTimeoutNanos(AttemptState a) {
    CallState c = a.call();
    return c.rule.kind() == CallKind.RESUMABLE_STREAM && a.mayRun()
        ? Math.max(MIN_IDLE_TIMEOUT_NANOS, IDLE_GAP_FACTOR * c.rule.gapMillis() * MILLI)
        : 0;
  }
}
