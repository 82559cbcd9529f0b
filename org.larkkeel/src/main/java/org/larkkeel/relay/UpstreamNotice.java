/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

/**
 * What an upstream says of itself in an answer, whatever the answer is to.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param leaving whether it is about to leave and takes no new work
 * @param restNanos for how long it wants no requests of this node; 0 if it does not say
 * @param rate how many requests it takes of all nodes, never null
 * @since 0.1
 */
public record UpstreamNotice(boolean leaving, long restNanos, RateNotice rate) {
  /** Checks the time. */
  public UpstreamNotice {
    if (restNanos < 0) {
      throw new IllegalArgumentException("restNanos is " + restNanos + ": use 0 or more");
    }
  }

  /** Without a word of the rate. */
  public UpstreamNotice(boolean leaving, long restNanos) {
    this(leaving, restNanos, RateNotice.UNSAID);
  }

  /** This notice, if it can not be relied on to be newer than what was said before. */
  public UpstreamNotice withoutEndOfLimit() {
    return rate instanceof RateNotice.Unlimited ? new UpstreamNotice(leaving, restNanos) : this;
  }

  /** Whether it changes nothing about an upstream that is taken to have no limit. */
  public boolean isEmpty() {
    return !leaving && restNanos == 0 && !(rate instanceof RateNotice.Limited);
  }
}
