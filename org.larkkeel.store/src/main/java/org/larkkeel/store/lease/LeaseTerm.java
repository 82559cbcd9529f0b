/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.lease;

import org.larkkeel.lib.FencingNumber;

/**
 * The time for which this process surely holds a lease. Immutable.
 *
 * @param fencing the fencing number that every action under the lease must carry, never null
 * @param sinceNanos the scheduler's time at which the write that acquired the lease was sent, in
 *     nanoseconds
 * @param untilNanos the scheduler's time from which the lease may have expired, in nanoseconds
 * @since 0.1
 */
public record LeaseTerm(FencingNumber fencing, long sinceNanos, long untilNanos) {

  /**
   * Returns whether the lease is held.
   *
   * @param now the scheduler's time in nanoseconds
   * @return true before the end of the term
   */
  public boolean isHeld(long now) {
    return now - untilNanos < 0;
  }
}
