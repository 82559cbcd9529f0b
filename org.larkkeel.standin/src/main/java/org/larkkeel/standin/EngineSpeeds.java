/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.standin;

/**
 * The prefill and decode speeds of a hardware generation.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param prefillTokensPerSecond the number of prompt tokens prefilled per second, greater than 0
 * @param decodeBaseMillis the duration of a decode step with an empty batch, in milliseconds
 * @param decodeMillisPerRequest the time that each request of the batch adds to a decode step, in
 *     milliseconds
 * @since 0.1
 */
public record EngineSpeeds(
    double prefillTokensPerSecond, double decodeBaseMillis, double decodeMillisPerRequest) {
  /** An old generation: 40 ms per token in a batch of 20. */
  public static final EngineSpeeds OLD = new EngineSpeeds(6_000, 24, 0.8);

  /** A new generation: 20 ms per token in a batch of 20. */
  public static final EngineSpeeds NEW = new EngineSpeeds(24_000, 14, 0.3);

  private static final double NANOS_PER_MILLI = 1e6;
  private static final double NANOS_PER_SECOND = 1e9;

  /**
   * Returns the duration of one decode step.
   *
   * @param batch the number of requests in the batch
   * @return the duration in nanoseconds
   */
  public long stepNanos(int batch) {
    return (long) ((decodeBaseMillis + decodeMillisPerRequest * batch) * NANOS_PER_MILLI);
  }

  /**
   * Returns the duration of a prefill.
   *
   * @param tokens the number of prompt tokens that are not in the prefix cache
   * @return the duration in nanoseconds
   */
  public long prefillNanos(int tokens) {
    return (long) (tokens / prefillTokensPerSecond * NANOS_PER_SECOND);
  }
}
