/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

/**
 * A least-squares fit of a line {@code y = a + b x} to samples with exponentially decaying weights.
 *
 * <p>Invariant: predictions use neither a negative offset nor a negative slope. Not safe for use by
 * several threads.
 *
 * @since 0.1
 */
public final class LinearFit {
  private static final double MIN_RELATIVE_SPREAD = 0.01;

  private final double decay;
  private double weight;
  private double sumX;
  private double sumY;
  private double sumXx;
  private double sumXy;
  private long samples;

  /**
   * Creates a fit without samples.
   *
   * @param decay the factor by which each new sample reduces the weights of the older ones, above 0
   *     and below 1
   */
  public LinearFit(double decay) {
    this.decay = decay;
  }

  /**
   * Adds a sample.
   *
   * @param x the independent value, not negative
   * @param y the dependent value
   */
  public void add(double x, double y) {
    weight = weight * decay + 1;
    sumX = sumX * decay + x;
    sumY = sumY * decay + y;
    sumXx = sumXx * decay + x * x;
    sumXy = sumXy * decay + x * y;
    samples++;
  }

  /**
   * Returns the number of samples so far.
   *
   * @return the number
   */
  public long samples() {
    return samples;
  }

  /**
   * Predicts the dependent value.
   *
   * @param x the independent value
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
   * Returns the weighted mean of the dependent values.
   *
   * @return the mean; 0 without samples
   */
  public double mean() {
    return samples == 0 ? 0 : sumY / weight;
  }

  /**
   * Returns the ratio of the weighted sums of the dependent and the independent values.
   *
   * @return the ratio; 0 without samples
   */
  public double ratio() {
    return sumX > 0 ? sumY / sumX : 0;
  }
}
