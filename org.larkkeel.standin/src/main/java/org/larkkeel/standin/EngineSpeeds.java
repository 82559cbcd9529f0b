/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.standin;

/**
 * The speeds of a hardware generation.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param prefillTokensPerSecond prompt tokens read a second, greater than 0
 * @param decodeBaseMillis the time of a decode step without any request, in milliseconds
 * @param decodeMillisPerRequest what each request in the batch adds to a step, in milliseconds
 * @since 0.1
 */
public record EngineSpeeds(
    double prefillTokensPerSecond, double decodeBaseMillis, double decodeMillisPerRequest) {
  /** An old generation: 40 ms a token in a batch of 20. */
  public static final EngineSpeeds OLD = new EngineSpeeds(6_000, 24, 0.8);

  /** A new generation: 20 ms a token in a batch of 20. */
  public static final EngineSpeeds NEW = new EngineSpeeds(24_000, 14, 0.3);

  private static final double NANOS_PER_MILLI = 1e6;
  private static final double NANOS_PER_SECOND = 1e9;

  /**
   * The time of one decode step.
   *
   * @param batch the number of requests in the batch
   * @return nanoseconds
   */
  public long stepNanos(int batch) {
    return (long) ((decodeBaseMillis + decodeMillisPerRequest * batch) * NANOS_PER_MILLI);
  }

  /**
   * The time of a prefill.
   *
   * @param tokens the prompt tokens that are not in the prefix cache
   * @return nanoseconds
   */
  public long prefillNanos(int tokens) {
    return (long) (tokens / prefillTokensPerSecond * NANOS_PER_SECOND);
  }
}
