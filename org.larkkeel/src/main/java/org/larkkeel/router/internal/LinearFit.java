/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

/**
 * A line {@code y = a + b x} through samples, where older ones count less and less.
 *
 * <p>Invariant: neither the offset nor the slope given out is negative. Not safe for use by several
 * threads.
 *
 * @since 0.1
 */
public final class LinearFit {
  private static final double MIN_RELATIVE_SPREAD = 0.01;

  private final double keep;
  private double weight;
  private double sumX;
  private double sumY;
  private double sumXx;
  private double sumXy;
  private long samples;

  /**
   * Creates a fit without samples.
   *
   * @param keep what remains of the weight of older samples at each new one, above 0 and below 1
   */
  public LinearFit(double keep) {
    this.keep = keep;
  }

  /**
   * Takes a sample.
   *
   * @param x the cause
   * @param y the effect
   */
  public void add(double x, double y) {
    weight = weight * keep + 1;
    sumX = sumX * keep + x;
    sumY = sumY * keep + y;
    sumXx = sumXx * keep + x * x;
    sumXy = sumXy * keep + x * y;
    samples++;
  }

  /**
   * The number of samples so far.
   *
   * @return a count
   */
  public long samples() {
    return samples;
  }

  /**
   * Predicts the effect.
   *
   * @param x the cause
   * @return the value on the line; 0 without samples
   */
  public double predict(double x) {
    if (samples == 0) {
      return 0;
    }
    double spread = weight * sumXx - sumX * sumX;
    if (spread <= MIN_RELATIVE_SPREAD * sumX * sumX) {
      return sumX > 0 ? sumY / sumX * x : sumY / weight;
    }
    double slope = Math.max(0, (weight * sumXy - sumX * sumY) / spread);
    double offset = (sumY - slope * sumX) / weight;
    if (offset < 0) {
      return sumXy / sumXx * x;
    }
    return offset + slope * x;
  }

  /**
   * The mean of the effects.
   *
   * @return the mean; 0 without samples
   */
  public double mean() {
    return samples == 0 ? 0 : sumY / weight;
  }

  /**
   * The ratio of all effects to all causes.
   *
   * @return the ratio; 0 without samples
   */
  public double ratio() {
    return sumX > 0 ? sumY / sumX : 0;
  }
}
