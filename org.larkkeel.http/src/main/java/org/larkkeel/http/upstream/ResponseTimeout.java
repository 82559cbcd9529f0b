/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.upstream;

/**
 * The timeout after which a request to an upstream is abandoned.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param kind the period that the timeout limits
 * @param nanos the timeout, nanoseconds, at least 1
 * @since 0.1
 */
public record ResponseTimeout(Kind kind, long nanos) {
  /** The period that a timeout limits. */
  public enum Kind {
    /** The time from the start of the request to the end of the response. */
    TOTAL,
    /** The time without any data from the upstream. */
    IDLE
  }

  /**
   * Limits the total time of a request, to the end of the response.
   *
   * @param nanos nanoseconds from the start of the request
   * @return the timeout
   */
  public static ResponseTimeout total(long nanos) {
    return new ResponseTimeout(Kind.TOTAL, nanos);
  }

  /**
   * Limits the time between parts of a response.
   *
   * @param nanos nanoseconds without a received byte
   * @return the timeout
   */
  public static ResponseTimeout idle(long nanos) {
    return new ResponseTimeout(Kind.IDLE, nanos);
  }
}
