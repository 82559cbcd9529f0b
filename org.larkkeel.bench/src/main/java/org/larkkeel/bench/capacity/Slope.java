/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.capacity;

import java.util.List;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * The least-squares line through the samples of one series.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param series the measured quantity
 * @param by the varied quantity
 * @param base the value at size 0
 * @param perOne the growth of the value for each increase of the size by 1
 * @param fit the coefficient of determination, 1 for a perfect line
 * @param unit the unit of the value
 * @since 0.1
 */
record Slope(String series, String by, double base, double perOne, double fit, String unit) {
  /** Fits a line through samples of one series, which must have at least two different sizes. */
  static Slope of(List<Sample> samples) {
    SimpleRegression line = new SimpleRegression();
    samples.forEach(s -> line.addData(s.size(), s.value()));
    Sample first = samples.getFirst();
    return new Slope(
        first.series(),
        first.by(),
        line.getIntercept(),
        line.getSlope(),
        line.getRSquare(),
        first.unit());
  }

  /** Returns the value of the line at a size. */
  double at(double size) {
    return base + perOne * size;
  }
}
