/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

/**
 * A rate of requests.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param thousandths the number of requests in 1,000 seconds; positive
 * @since 0.1
 */
public record RequestRate(long thousandths) implements Comparable<RequestRate> {
  private static final double THOUSAND = 1_000;

  /**
   * Validates the rate.
   *
   * @throws IllegalArgumentException if the rate is not positive
   */
  public RequestRate {
    if (thousandths <= 0) {
      throw new IllegalArgumentException(
          "the rate is " + thousandths + " in 1,000 seconds: use a positive number");
    }
  }

  /** Returns the rate nearest to a number of requests per second; at least the smallest rate. */
  public static RequestRate perSecond(double requests) {
    return new RequestRate(Math.max(1, Math.round(requests * THOUSAND)));
  }

  /** Returns the number of requests per second. */
  public double perSecond() {
    return thousandths / THOUSAND;
  }

  @Override
  public int compareTo(RequestRate other) {
    return Long.compare(thousandths, other.thousandths);
  }

  @Override
  public String toString() {
    return Double.toString(perSecond());
  }
}
