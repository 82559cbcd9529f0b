/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.slots;

import java.util.concurrent.TimeUnit;

/**
 * Times of slot leases, in nanoseconds.
 *
 * <p>With a keep time of 0 each request reserves its slot at the owner. With a longer one a holder
 * keeps slots as long as its demand lasts. Immutable and safe for use by several threads.
 *
 * @param hold how long a lease lasts without a report
 * @param keep how long a holder keeps slots that it does not use
 * @param takeoverDelay how long a new owner only listens before it grants
 * @param recallPeriod between two recalls while asks wait
 * @since 0.1
 */
public record SlotSettings(long hold, long keep, long takeoverDelay, long recallPeriod) {

  /**
   * A slot for each request, for a few nodes.
   *
   * @return the settings
   */
  public static SlotSettings perRequest() {
    return new SlotSettings(
        TimeUnit.SECONDS.toNanos(5), 0, TimeUnit.MILLISECONDS.toNanos(200), recall());
  }

  /**
   * Slots that follow demand, for hundreds of nodes.
   *
   * @return the settings
   */
  public static SlotSettings standing() {
    return new SlotSettings(
        TimeUnit.SECONDS.toNanos(30),
        TimeUnit.SECONDS.toNanos(3),
        TimeUnit.MILLISECONDS.toNanos(500),
        recall());
  }

  private static long recall() {
    return TimeUnit.MILLISECONDS.toNanos(200);
  }

  long renewal() {
    return hold / 3;
  }
}
