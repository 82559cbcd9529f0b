/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.balance;

/**
 * The costs of work at engines of different speeds.
 *
 * <p>Costs are compared among the engines for one call, so that what is the same for all of them is
 * left out: the tokens and the expected output of the call. Stateless.
 *
 * @since 0.1
 */
public final class WorkCost {
  private WorkCost() {}

  /**
   * Returns the time that one unit of a run takes at an engine.
   *
   * @param medianNanos the time at an engine of median speed, in nanoseconds
   * @param estimatedNanos the time that this node measured at this engine, in nanoseconds; it
   *     counts if it is longer, as there are delays that the speed of a stream does not show
   * @param speed the speed of the engine, relative to the median
   */
  public static double runNanos(double medianNanos, double estimatedNanos, double speed) {
    return Math.max(medianNanos / speed, estimatedNanos);
  }

  /**
   * Returns the weight of an engine's fill for a run. It is at most 2, so that an engine of less
   * than half the speed is filled only once the faster ones are full, while engines of the same
   * speed are filled evenly.
   *
   * @param fill the share of the memory that is reserved, including the call
   */
  public static double fillWeight(double fill) {
    return 1 + fill;
  }

  /**
   * Returns the time that an engine takes for a unit of a prompt; times the queued units and those
   * of the prompt, it is the predicted time until the prompt is prefilled.
   *
   * @param medianNanos the time at an engine of median speed, in nanoseconds
   * @param speed the speed of the engine, relative to the median
   */
  public static double prefillNanos(double medianNanos, double speed) {
    return medianNanos / speed;
  }
}
