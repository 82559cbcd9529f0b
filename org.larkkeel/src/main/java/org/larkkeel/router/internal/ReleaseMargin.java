/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

/**
 * The safety margin by which the router plans with fewer slot releases than expected.
 *
 * <p>The margin rises with each KV cache that was lost for lack of a slot and falls a little with
 * each one used, so the share of losses converges near {@code DEVIATIONS_FALL / DEVIATIONS_RISE}.
 * Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class ReleaseMargin {
  private static final double DEVIATIONS_RISE = 0.5;
  private static final double DEVIATIONS_FALL = 0.0015;
  private static final double MIN_DEVIATIONS = 0.5;
  private static final double MAX_DEVIATIONS = 4;
  private static final double SLOTS_RISE = 1;
  private static final double SLOTS_FALL = 0.003;
  private static final double MAX_SLOTS = 20;

  private double deviations;
  private double slots;

  /**
   * Creates a margin with an initial value.
   *
   * @param deviations standard deviations
   */
  public ReleaseMargin(double deviations) {
    this.deviations = deviations;
  }

  /** Raises the margin, as a KV cache was lost while it waited for a slot. */
  public void recordLost() {
    deviations = Math.min(MAX_DEVIATIONS, deviations + DEVIATIONS_RISE);
    slots = Math.min(MAX_SLOTS, slots + SLOTS_RISE);
  }

  /** Lowers the margin a little, as a KV cache was used. */
  public void recordUsed() {
    deviations = Math.max(MIN_DEVIATIONS, deviations - DEVIATIONS_FALL);
    slots = Math.max(0, slots - SLOTS_FALL);
  }

  /**
   * Returns the number of slots to leave free at engines that other nodes use as well.
   *
   * @return slots
   */
  public double slots() {
    return slots;
  }

  /**
   * Returns the number of standard deviations by which to plan below the expected releases.
   *
   * @return standard deviations
   */
  public double deviations() {
    return deviations;
  }
}
