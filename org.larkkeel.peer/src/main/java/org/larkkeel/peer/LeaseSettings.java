/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer;

import java.util.concurrent.TimeUnit;
import org.larkkeel.peer.slots.SlotSettings;

/**
 * Time settings of slot leases and rate limits between nodes.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param slots settings of slot leases
 * @param flushPeriodNanos interval between two batches to one peer, in nanoseconds
 * @param retryDelayNanos time without batches to a peer after a failed one, in nanoseconds
 * @since 0.1
 */
public record LeaseSettings(SlotSettings slots, long flushPeriodNanos, long retryDelayNanos) {

  /**
   * Returns the settings for a few nodes: a slot lease for each request.
   *
   * @return the settings
   */
  public static LeaseSettings perRequest() {
    return new LeaseSettings(
        SlotSettings.perRequest(),
        TimeUnit.MILLISECONDS.toNanos(5),
        TimeUnit.MILLISECONDS.toNanos(100));
  }

  /**
   * Returns the settings for hundreds of nodes: the slots of a node follow its demand.
   *
   * @return the settings
   */
  public static LeaseSettings followingDemand() {
    return new LeaseSettings(
        SlotSettings.followingDemand(),
        TimeUnit.MILLISECONDS.toNanos(200),
        TimeUnit.MILLISECONDS.toNanos(1_000));
  }
}
