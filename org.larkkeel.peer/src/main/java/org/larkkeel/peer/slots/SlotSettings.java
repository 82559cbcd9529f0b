/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.slots;

import java.util.concurrent.TimeUnit;

/**
 * The settings of slot leases. All times are in nanoseconds.
 *
 * <p>With a keep time of 0, each request leases its slot from the owner. With a longer keep time, a
 * holder keeps slots while its demand lasts. Immutable and safe for use by several threads.
 *
 * @param leaseNanos the duration of a lease without a report
 * @param idleNanos the time for which a holder keeps idle slots
 * @param takeoverDelayNanos the time for which a new owner collects reports before it grants slots
 * @param recallPeriodNanos the interval between two contention notices while requests wait
 * @since 0.1
 */
public record SlotSettings(
    long leaseNanos, long idleNanos, long takeoverDelayNanos, long recallPeriodNanos) {

  /**
   * Returns settings for a few nodes: each request leases its slot.
   *
   * @return the settings
   */
  public static SlotSettings perRequest() {
    return new SlotSettings(
        TimeUnit.SECONDS.toNanos(5), 0, TimeUnit.MILLISECONDS.toNanos(200), recall());
  }

  /**
   * Returns settings for hundreds of nodes: the number of leased slots follows the demand.
   *
   * @return the settings
   */
  public static SlotSettings followingDemand() {
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
    return leaseNanos / 3;
  }
}
