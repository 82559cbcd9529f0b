/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.overload;

import java.util.HashMap;
import java.util.Map;

/**
 * The errors of forecasts by rank, and the margins derived from them.
 *
 * <p>The margin is the mean amount by which waits exceeded their forecasts plus twice the mean
 * deviation, both exponentially weighted. Not thread-safe.
 *
 * @param <R> the type of ranks
 * @since 0.1
 */
public final class ForecastErrors<R> {
  /**
   * The maximum margin, in nanoseconds. The rate is at most a second old, so a larger error shows
   * that the load has changed, which a margin does not answer.
   */
  public static final long MAX_MARGIN_NANOS = 500_000_000L;

  /**
   * The time in which a margin without new samples halves, in nanoseconds. Without it, a margin by
   * which all calls are rejected would never be corrected, as only calls that wait give samples.
   */
  public static final long HALF_LIFE_NANOS = 2_000_000_000L;

  private static final double MEAN_GAIN = 1.0 / 8;
  private static final double DEVIATION_GAIN = 1.0 / 4;
  private static final double DEVIATIONS = 2;

  private final Map<R, Estimate> estimates = new HashMap<>();

  private static final class Estimate {
    private double mean;
    private double deviation;
    private long updatedAt;
  }

  /**
   * Records the end of a wait.
   *
   * @param at now
   * @param rank the rank of the call
   * @param predictedNanos the forecast of the wait
   * @param actualNanos the wait
   */
  public void record(long at, R rank, long predictedNanos, long actualNanos) {
    double error = (double) predictedNanos - actualNanos;
    Estimate e = estimates.get(rank);
    if (e == null) {
      e = new Estimate();
      e.mean = error;
      e.deviation = Math.abs(error) / 2;
      estimates.put(rank, e);
    } else {
      e.deviation += DEVIATION_GAIN * (Math.abs(error - e.mean) - e.deviation);
      e.mean += MEAN_GAIN * (error - e.mean);
    }
    e.updatedAt = at;
  }

  /**
   * Returns the mean of predicted less actual waits of a rank in nanoseconds; 0 without samples.
   */
  public long meanErrorNanos(R rank) {
    Estimate e = estimates.get(rank);
    return e == null ? 0 : Math.round(e.mean);
  }

  /** Returns the margin of a rank in nanoseconds, 0 to {@link #MAX_MARGIN_NANOS}. */
  public long marginNanos(long at, R rank) {
    Estimate e = estimates.get(rank);
    if (e == null) {
      return 0;
    }
    double margin = Math.max(0, DEVIATIONS * e.deviation - e.mean);
    double decay = Math.pow(0.5, (double) Math.max(0, at - e.updatedAt) / HALF_LIFE_NANOS);
    return (long) Math.min(MAX_MARGIN_NANOS, margin * decay);
  }
}
