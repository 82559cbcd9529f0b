/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router;

/**
 * The condition on decode slots under which a prefill may start.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @since 0.1
 */
public sealed interface ReservationPolicy {
  /** Reserves no slot; the decode engine is chosen when the prefill is complete. */
  record None() implements ReservationPolicy {}

  /** Reserves a free slot before the prefill starts and holds it until the end of the decode. */
  record Strict() implements ReservationPolicy {}

  /**
   * Starts a prefill only if a decode slot is free, or if enough slots of all decode engines
   * together are predicted to be released while the prefill runs and its KV cache is held.
   *
   * @param holdShare the part of the hold time of a KV cache that the prediction counts on, from 0
   *     to 1
   * @param initialDeviations the initial safety margin: the number of standard deviations that is
   *     subtracted from the expected number of releases
   * @param overbooking the maximum number of slots of one upstream that are reserved beyond its
   *     free ones, as a share of all its slots, from 0 to 1
   */
  record PredictedRelease(double holdShare, double initialDeviations, double overbooking)
      implements ReservationPolicy {}
}
