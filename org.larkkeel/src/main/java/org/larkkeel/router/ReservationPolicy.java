/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router;

/**
 * Whether a prefill starts only with a decode slot in sight.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @since 0.1
 */
public sealed interface ReservationPolicy {
  /** No slot is reserved; the decode engine is chosen when the prefill is complete. */
  record None() implements ReservationPolicy {}

  /** A free slot is held from before the prefill until the end of the decode. */
  record Strict() implements ReservationPolicy {}

  /**
   * A slot is free, or slots enough of all decode engines together are expected to come free while
   * the prefill runs and its KV cache is held.
   *
   * @param holdShare share of the time that a KV cache is held that is counted on, from 0 to 1
   * @param caution standard deviations by which fewer slots may come free than expected, to start
   *     with
   * @param overbooking the most slots of one upstream promised beyond those free, as a share of its
   *     slots, from 0 to 1
   */
  record PredictedRelease(double holdShare, double caution, double overbooking)
      implements ReservationPolicy {}
}
