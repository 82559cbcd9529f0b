/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

import java.util.Arrays;

/**
 * The distribution of the lengths of answers of one route: a logarithmic histogram in which older
 * answers have less weight.
 *
 * <p>Invariant: the survival function does not increase and goes from 1 to 0. Not safe for use by
 * several threads.
 *
 * @since 0.1
 */
public final class OutputLengths {
  private static final int BUCKETS_PER_OCTAVE = 8;
  private static final int OCTAVES = 18;
  private static final int BUCKETS = BUCKETS_PER_OCTAVE * OCTAVES;
  private static final int MIN_SAMPLES = 30;
  private static final int UPDATE_INTERVAL = 32;
  private static final double MAX_WEIGHT = 4_000;
  private static final int ONE_BITS = Float.floatToRawIntBits(1);
  private static final int MANTISSA_SPAN = 1 << 23;

  private final double defaultTokens;
  private final double[] counts = new double[BUCKETS + 1];
  private final double[] survival = new double[BUCKETS + 2];
  private double weight;
  private double sum;
  private int samplesSinceUpdate;

  /**
   * Creates a distribution without answers.
   *
   * @param defaultTokens the expected length before enough answers were observed, in tokens
   */
  public OutputLengths(double defaultTokens) {
    this.defaultTokens = defaultTokens;
  }

  /**
   * Adds a complete answer.
   *
   * @param tokens the length of the answer
   */
  public void add(int tokens) {
    counts[(int) bucketPosition(tokens)]++;
    weight++;
    sum += tokens;
    samplesSinceUpdate++;
    if (weight > MAX_WEIGHT) {
      halveWeights();
    }
    if (samplesSinceUpdate >= UPDATE_INTERVAL || weight == MIN_SAMPLES) {
      updateSurvival();
    }
  }

  /**
   * Predicts the number of tokens that an answer has yet to get.
   *
   * @param maxTokens the maximum length that the request allows
   * @param delivered the number of tokens delivered so far
   * @return tokens, at least 1
   */
  public double remaining(int maxTokens, int delivered) {
    return Math.max(1, Math.min(mean(), maxTokens) - delivered);
  }

  /**
   * Predicts the probability that an answer ends within a number of further tokens.
   *
   * @param maxTokens the maximum length that the request allows
   * @param length the current length in tokens
   * @param furtherTokens the number of further tokens
   * @return the probability that the answer ends before it has these tokens, from 0 to 1
   */
  public double endProbability(int maxTokens, double length, double furtherTokens) {
    if (length + furtherTokens >= maxTokens) {
      return 1;
    }
    if (weight < MIN_SAMPLES) {
      return Math.min(1, furtherTokens / mean());
    }
    double currentSurvival = survival(length);
    return currentSurvival <= 0 ? 1 : 1 - survival(length + furtherTokens) / currentSurvival;
  }

  private double mean() {
    return weight < MIN_SAMPLES
        ? (defaultTokens * (MIN_SAMPLES - weight) + sum) / MIN_SAMPLES
        : sum / weight;
  }

  private double survival(double tokens) {
    double position = bucketPosition(tokens);
    int bucket = (int) position;
    double fraction = position - bucket;
    return survival[bucket] + fraction * (survival[bucket + 1] - survival[bucket]);
  }

  /**
   * Returns the position of a length on the bucket scale: its logarithm to the base 2, interpolated
   * linearly between powers of 2, times the buckets per octave.
   */
  private static double bucketPosition(double tokens) {
    int bits = Float.floatToRawIntBits((float) Math.max(1, tokens)) - ONE_BITS;
    return Math.min(BUCKETS, (double) bits / MANTISSA_SPAN * BUCKETS_PER_OCTAVE);
  }

  private void halveWeights() {
    for (int i = 0; i < counts.length; i++) {
      counts[i] /= 2;
    }
    weight /= 2;
    sum /= 2;
  }

  private void updateSurvival() {
    samplesSinceUpdate = 0;
    Arrays.fill(survival, 0);
    double weightAbove = 0;
    for (int i = BUCKETS; i >= 0; i--) {
      weightAbove += counts[i];
      survival[i] = weightAbove / weight;
    }
  }
}
