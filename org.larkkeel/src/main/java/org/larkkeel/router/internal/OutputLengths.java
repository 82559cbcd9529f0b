/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

/**
 * How long the answers of one route are.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class OutputLengths {
  private static final double STEP = 0.02;
  private static final int WARM_UP = 50;

  private double mean;
  private int seen;

  /**
   * Starts from a guess.
   *
   * @param guess tokens
   */
  public OutputLengths(double guess) {
    mean = guess;
  }

  /**
   * Takes a complete answer.
   *
   * @param tokens its length
   */
  public void add(int tokens) {
    seen++;
    double step = seen < WARM_UP ? 1.0 / seen : STEP;
    mean += step * (tokens - mean);
  }

  /**
   * Predicts the tokens still to come.
   *
   * @param maxTokens the most that the request may have
   * @param passed tokens passed on
   * @return tokens, at least 1
   */
  public double remaining(int maxTokens, int passed) {
    return Math.max(1, Math.min(mean, maxTokens) - passed);
  }
}
