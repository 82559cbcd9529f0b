/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.limits;

/**
 * The rates that a workspace may use over all nodes; the buckets hold one second's worth.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param requestsPerSecond at least 1
 * @param tokensPerSecond prompt tokens a second, at least 1
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
