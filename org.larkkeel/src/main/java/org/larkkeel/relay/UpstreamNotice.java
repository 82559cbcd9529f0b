/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

/**
 * The notice of an upstream about its own state, which any of its answers can carry.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param leaving true if the upstream is leaving and takes no new work
 * @param backoffNanos the time for which the upstream wants no requests of this node; 0 if it did
 *     not say
 * @param rate the announced limit on the requests of all nodes, never null
 * @since 0.1
 */
public record UpstreamNotice(boolean leaving, long backoffNanos, RateLimitNotice rate) {
  /**
   * Validates the backoff.
   *
   * @throws IllegalArgumentException if {@code backoffNanos} is negative
   */
  public UpstreamNotice {
    if (backoffNanos < 0) {
      throw new IllegalArgumentException("the backoff is " + backoffNanos + " ns: use 0 or more");
    }
  }

  /** Creates a notice without information about a rate limit. */
  public UpstreamNotice(boolean leaving, long backoffNanos) {
    this(leaving, backoffNanos, RateLimitNotice.UNKNOWN);
  }

  /**
   * Returns this notice without the end of a rate limit, for a notice that may be older than the
   * known state.
   */
  public UpstreamNotice withoutLimitEnd() {
    return rate instanceof RateLimitNotice.Unlimited
        ? new UpstreamNotice(leaving, backoffNanos)
        : this;
  }

  /** Returns whether the notice changes nothing for an upstream that has no known limit. */
  public boolean isEmpty() {
    return !leaving && backoffNanos == 0 && !(rate instanceof RateLimitNotice.Limited);
  }
}
