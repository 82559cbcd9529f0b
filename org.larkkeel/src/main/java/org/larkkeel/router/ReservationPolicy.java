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
   * A slot is free, or is expected to be by the time that prefill and transfer are complete.
   *
   * @param share share of the expected releases that is counted on, from 0 to 1
   * @param overbooking the most slots of one upstream promised beyond those free, as a share of its
   *     slots, from 0 to 1
   */
  record PredictedRelease(double share, double overbooking) implements ReservationPolicy {}
}
