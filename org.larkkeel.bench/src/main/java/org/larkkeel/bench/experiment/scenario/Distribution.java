/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.scenario;

import java.util.SplittableRandom;

/**
 * A distribution of sizes or times, cut to its bounds.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @since 0.1
 */
public sealed interface Distribution {
  /**
   * Always the same value.
   *
   * @param value the value
   */
  record Fixed(double value) implements Distribution {}

  /**
   * Equally likely values.
   *
   * @param min the least value
   * @param max the greatest value
   */
  record Uniform(double min, double max) implements Distribution {}

  /**
   * Values whose logarithm is normal, cut to bounds.
   *
   * @param median the median
   * @param sigma standard deviation of the natural logarithm
   * @param min the least value
   * @param max the greatest value
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
          Math.clamp(log.median * Math.exp(log.sigma * gaussian(random)), log.min, log.max);
    };
  }

  private static double gaussian(SplittableRandom random) {
    double radius = Math.sqrt(-2 * Math.log(1 - random.nextDouble()));
    return radius * Math.cos(2 * Math.PI * random.nextDouble());
  }
}
