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
 * @param fencing the number to put on all that is done under the lease, never null
 * @param since when the write that took it over was sent, in the scheduler's nanoseconds
 * @param until when it may lapse, in the scheduler's nanoseconds
 * @since 0.1
 */
public record Tenure(FencingNumber fencing, long since, long until) {

  /**
   * Tells whether the lease is held.
   *
   * @param now the time in nanoseconds
   * @return true before the end
   */
  public boolean isHeld(long now) {
    return now - until < 0;
  }
}
