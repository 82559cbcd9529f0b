/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.balance;

/**
 * The learned weight of load in the time of a unit of work: at load l, a unit takes 1 + weight x l
 * times the time that it takes without load.
 *
 * <p>The weight is the median over pairs of consecutive samples of the same engine, which excludes
 * the differences between engines. Not thread-safe.
 */
final class LoadWeight {
  /**
   * The weight of a full memory before anything was learned: a step of the engines for which this
   * was built takes 3.79 ms and 0.09 ms more for each of at most 7 calls.
   */
  static final double INITIAL_RUN = 0.17;

  /** The weight for prefills, of which only those without a known queue are used. */
  static final double PREFILL = 0;

  /**
   * The minimum difference between the loads of a pair: at smaller ones, the pair shows noise
   * rather than the effect of load. A tenth is less than one call of seven adds.
   */
  private static final double MIN_LOAD_DIFFERENCE = 0.1;

  /** The change for each pair: 100 pairs, some seconds of work, move the weight by 1. */
  private static final double STEP = 0.01;

  /** The maximum weight: an engine of 16 slots whose step time is nearly all of calls. */
  private static final double MAX = 16;

  private final boolean learns;
  private double value;

  LoadWeight(WorkKind kind) {
    learns = kind == WorkKind.RUN;
    value = learns ? INITIAL_RUN : PREFILL;
  }

  /** Returns the time of a unit without load, in nanoseconds, from its time at a load. */
  double unloadedNanos(double nanos, double load) {
    return nanos / (1 + value * load);
  }

  /** Learns from two consecutive samples of an engine: their times in nanoseconds, and loads. */
  void learn(double nanos1, double load1, double nanos2, double load2) {
    if (!learns || Math.abs(load1 - load2) < MIN_LOAD_DIFFERENCE) {
      return;
    }
    double pair =
        load1 < load2 ? weight(nanos1, load1, nanos2, load2) : weight(nanos2, load2, nanos1, load1);
    value = Math.clamp(value + STEP * Math.signum(pair - value), 0, MAX);
  }

  /** Returns the weight that a pair shows, the sample with less load first. */
  private static double weight(double nanos1, double load1, double nanos2, double load2) {
    double divisor = nanos1 * load2 - nanos2 * load1;
    // Without a positive divisor, the time grew by at least as much as the load.
    return divisor > 0 ? (nanos2 - nanos1) / divisor : MAX;
  }
}
