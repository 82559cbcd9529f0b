/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

/**
 * How many requests a second something takes.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param thousandths requests in 1,000 seconds; positive
 * @since 0.1
 */
public record RequestRate(long thousandths) implements Comparable<RequestRate> {
  private static final double THOUSAND = 1_000;

  /** Checks the number. */
  public RequestRate {
    if (thousandths <= 0) {
      throw new IllegalArgumentException(
          "the rate is " + thousandths + " in 1,000 seconds: use a positive number");
    }
  }

  /** The rate nearest to a number of requests a second; at least the smallest rate. */
  public static RequestRate perSecond(double requests) {
    return new RequestRate(Math.max(1, Math.round(requests * THOUSAND)));
  }

  /** Requests a second. */
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
