/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

/**
 * What the reservation coordinator needs to know of a caller to reject its call early.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param identity identifies the caller's request across its retries
 * @param abandonMillis the time after the arrival at which the caller abandons a call without a
 *     first event
 * @param deadlineMillis the time after the arrival until which the caller waits at most
 * @since 0.1
 */
public record RequestTerms(long identity, long abandonMillis, long deadlineMillis) {
  /**
   * Validates the times.
   *
   * @throws IllegalArgumentException if a time is negative
   */
  public RequestTerms {
    if (abandonMillis < 0 || deadlineMillis < 0) {
      throw new IllegalArgumentException(
          "the terms of a request are "
              + abandonMillis
              + " ms and "
              + deadlineMillis
              + " ms: use 0 or more");
    }
  }
}
