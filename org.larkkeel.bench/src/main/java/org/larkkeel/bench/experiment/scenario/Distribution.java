/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.scenario;

import java.util.SplittableRandom;

/**
 * A bounded distribution of sizes or times.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @since 0.1
 */
public sealed interface Distribution {
  /**
   * A single value.
   *
   * @param value the value
   */
  record Fixed(double value) implements Distribution {}

  /**
   * A uniform distribution.
   *
   * @param min the minimum
   * @param max the maximum
   */
  record Uniform(double min, double max) implements Distribution {}

  /**
   * A log-normal distribution, clamped to bounds.
   *
   * @param median the median
   * @param sigma the standard deviation of the natural logarithm
   * @param min the minimum
   * @param max the maximum
   */
  record LogNormal(double median, double sigma, double min, double max) implements Distribution {}

  /**
   * Draws a value.
   *
   * @param random the source of randomness
   * @return the value
   */
  default double draw(SplittableRandom random) {
    return switch (this) {
      case Fixed fixed -> fixed.value;
      case Uniform uniform -> uniform.min + (uniform.max - uniform.min) * random.nextDouble();
      case LogNormal log ->
          Math.clamp(log.median * Math.exp(log.sigma * drawGaussian(random)), log.min, log.max);
    };
  }

  private static double drawGaussian(SplittableRandom random) {
    double radius = Math.sqrt(-2 * Math.log(1 - random.nextDouble()));
    return radius * Math.cos(2 * Math.PI * random.nextDouble());
  }
}
