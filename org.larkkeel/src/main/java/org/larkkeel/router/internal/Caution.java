/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

/**
 * How far below the expected number of releases the router plans, in standard deviations.
 *
 * <p>Rises with each KV cache that was lost for want of a slot and falls a little with each one
 * used, so that the share of losses settles near {@code FALL / RISE}. Not safe for use by several
 * threads.
 *
 * @since 0.1
 */
public final class Caution {
  private static final double RISE = 0.5;
  private static final double FALL = 0.0015;
  private static final double LEAST = 0.5;
  private static final double MOST = 4;
  private static final double MARGIN_RISE = 1;
  private static final double MARGIN_FALL = 0.003;
  private static final double MOST_MARGIN = 20;

  private double deviations;
  private double margin;

  /**
   * Starts with a value.
   *
   * @param deviations standard deviations
   */
  public Caution(double deviations) {
    this.deviations = deviations;
  }

  /** A KV cache was lost while it waited for a slot. */
  public void lost() {
    deviations = Math.min(MOST, deviations + RISE);
    margin = Math.min(MOST_MARGIN, margin + MARGIN_RISE);
  }

  /** A KV cache was used. */
  public void used() {
    deviations = Math.max(LEAST, deviations - FALL);
    margin = Math.max(0, margin - MARGIN_FALL);
  }

  /**
   * Slots to leave free where other nodes use the same engines unseen.
   *
   * @return slots
   */
  public double margin() {
    return margin;
  }

  /**
   * The caution to plan with.
   *
   * @return standard deviations
   */
  public double deviations() {
    return deviations;
  }
}
