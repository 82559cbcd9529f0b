/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.balance;

import java.util.Arrays;

/**
 * The time that one engine takes for a unit of work: a weighted quantile of its last samples.
 *
 * <p>Invariants: samples are at least {@link #MIN_SPACING_MILLIS} apart, so that what one moment
 * shows counts once, however many calls show it; only the samples of the last {@link
 * #MAX_AGE_MILLIS} count, or the last {@link #MIN_SAMPLES}. Takes at most 300 B. Not thread-safe.
 */
final class SpeedEstimate {
  /**
   * The number of samples that an estimate needs, so that one pause of 0.6 s, which spoils at most
   * three of them, does not decide it.
   */
  static final int MIN_SAMPLES = 8;

  /** The number of samples that are kept. */
  static final int CAPACITY = 24;

  /** The minimum time between two samples, so that {@link #CAPACITY} samples span 2.4 s. */
  static final int MIN_SPACING_MILLIS = 100;

  /**
   * The maximum age of a sample while there are enough younger ones. With it, a change of speed
   * shows in the median after 1.4 s, and a pause of 0.6 s does not.
   */
  private static final int MAX_AGE_MILLIS = 3_000;

  /** The time after which a sample weighs half. */
  private static final double HALF_LIFE_MILLIS = 4_000;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final float[] nanos = new float[CAPACITY];
  private final int[] times = new int[CAPACITY];
  private int count;
  private int last = -1;
  private float lastRawNanos;
  private float lastLoad;

  /** Adds a sample at a time, with the time of a unit without load, in nanoseconds. */
  SampleResult add(long at, double unloadedNanos) {
    int time = millis(at);
    if (count > 0 && time - times[last] < MIN_SPACING_MILLIS) {
      return SampleResult.TOO_SOON;
    }
    last = (last + 1) % CAPACITY;
    nanos[last] = (float) unloadedNanos;
    times[last] = time;
    count = Math.min(count + 1, CAPACITY);
    return SampleResult.USED;
  }

  /** Lets {@code weight} learn from this sample and the one before it, and keeps this sample. */
  void learn(LoadWeight weight, double rawNanos, double load) {
    if (lastRawNanos > 0) {
      weight.learn(lastRawNanos, lastLoad, rawNanos, load);
    }
    lastRawNanos = (float) rawNanos;
    lastLoad = (float) load;
  }

  /** Returns whether there are enough samples for an estimate. */
  boolean isMeasured() {
    return count >= MIN_SAMPLES;
  }

  /** Returns the time since the last sample, in milliseconds. */
  int ageMillis(long at) {
    return millis(at) - times[last];
  }

  /**
   * Returns a quantile of the weighted samples, in nanoseconds for each unit.
   *
   * @param at now
   * @param quantile the quantile, between 0 and 1
   */
  double quantileNanos(long at, double quantile) {
    final int now = millis(at);
    long[] ordered = new long[CAPACITY];
    int n = 0;
    double total = 0;
    for (int i = 0; i < count; i++) {
      int slot = Math.floorMod(last - i, CAPACITY);
      int age = now - times[slot];
      if (age > MAX_AGE_MILLIS && n >= MIN_SAMPLES) {
        break;
      }
      // Positive floats order like their bits, so that value and slot sort as one number.
      ordered[n++] = ((long) Float.floatToRawIntBits(nanos[slot]) << Integer.SIZE) | slot;
      total += weight(age);
    }
    Arrays.sort(ordered, 0, n);
    double below = 0;
    int slot = 0;
    for (int i = 0; i < n; i++) {
      slot = (int) ordered[i];
      below += weight(now - times[slot]);
      if (below >= quantile * total) {
        break;
      }
    }
    return nanos[slot];
  }

  private static double weight(int ageMillis) {
    return Math.pow(0.5, ageMillis / HALF_LIFE_MILLIS);
  }

  /** Returns a time in milliseconds, modulo 2^32; only differences are used. */
  private static int millis(long at) {
    return (int) (at / NANOS_PER_MILLI);
  }
}
