/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.limits;

/**
 * The rate limits of a workspace over all nodes. Each token bucket holds one second's units.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param requestsPerSecond requests per second, at least 1
 * @param tokensPerSecond prompt tokens per second, at least 1
 * @since 0.1
 */
public record RateLimit(long requestsPerSecond, long tokensPerSecond) {

  /** Checks the rates. */
  public RateLimit {
    if (requestsPerSecond < 1) {
      throw new IllegalArgumentException(
          "requestsPerSecond is " + requestsPerSecond + ": use at least 1");
    }
    if (tokensPerSecond < 1) {
      throw new IllegalArgumentException(
          "tokensPerSecond is " + tokensPerSecond + ": use at least 1");
    }
  }
}
