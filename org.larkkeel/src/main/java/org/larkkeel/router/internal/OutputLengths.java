/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

import java.util.Arrays;

/**
 * How long the answers of one route are: a histogram by size, where older answers count less.
 *
 * <p>Invariant: the survival function falls from 1 to 0. Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class OutputLengths {
  private static final int PARTS_OF_OCTAVE = 8;
  private static final int OCTAVES = 18;
  private static final int BUCKETS = PARTS_OF_OCTAVE * OCTAVES;
  private static final int ENOUGH = 30;
  private static final int REFRESH_EVERY = 32;
  private static final double MAX_WEIGHT = 4_000;
  private static final int ONE_BITS = Float.floatToRawIntBits(1);
  private static final int MANTISSA_SPAN = 1 << 23;

  private final double guess;
  private final double[] counts = new double[BUCKETS + 1];
  private final double[] survival = new double[BUCKETS + 2];
  private double weight;
  private double sum;
  private int sinceRefresh;

  /**
   * Starts from a guess.
   *
   * @param guess tokens
   */
  public OutputLengths(double guess) {
    this.guess = guess;
  }

  /**
   * Takes a complete answer.
   *
   * @param tokens its length
   */
  public void add(int tokens) {
    counts[(int) place(tokens)]++;
    weight++;
    sum += tokens;
    sinceRefresh++;
    if (weight > MAX_WEIGHT) {
      halve();
    }
    if (sinceRefresh >= REFRESH_EVERY || weight == ENOUGH) {
      refresh();
    }
  }

  /**
   * Predicts the tokens still to come.
   *
   * @param maxTokens the most that the request may have
   * @param passed tokens passed on
   * @return tokens, at least 1
   */
  public double remaining(int maxTokens, int passed) {
    return Math.max(1, Math.min(mean(), maxTokens) - passed);
  }

  /**
   * Predicts whether an answer ends soon.
   *
   * @param maxTokens the most that it may have
   * @param passed tokens that it has now
   * @param more tokens that it would get in the time looked at
   * @return the chance that it ends before it has them, from 0 to 1
   */
  public double chanceToEnd(int maxTokens, double passed, double more) {
    if (passed + more >= maxTokens) {
      return 1;
    }
    if (weight < ENOUGH) {
      return Math.min(1, more / mean());
    }
    double now = survival(passed);
    return now <= 0 ? 1 : 1 - survival(passed + more) / now;
  }

  private double mean() {
    return weight < ENOUGH ? (guess * (ENOUGH - weight) + sum) / ENOUGH : sum / weight;
  }

  private double survival(double tokens) {
    double place = place(tokens);
    int bucket = (int) place;
    double part = place - bucket;
    return survival[bucket] + part * (survival[bucket + 1] - survival[bucket]);
  }

  /** The logarithm to the base 2, linear between powers, in parts of an octave. */
  private static double place(double tokens) {
    int bits = Float.floatToRawIntBits((float) Math.max(1, tokens)) - ONE_BITS;
    return Math.min(BUCKETS, (double) bits / MANTISSA_SPAN * PARTS_OF_OCTAVE);
  }

  private void halve() {
    for (int i = 0; i < counts.length; i++) {
      counts[i] /= 2;
    }
    weight /= 2;
    sum /= 2;
  }

  private void refresh() {
    sinceRefresh = 0;
    Arrays.fill(survival, 0);
    double above = 0;
    for (int i = BUCKETS; i >= 0; i--) {
      above += counts[i];
      survival[i] = above / weight;
    }
  }
}
