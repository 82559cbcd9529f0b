/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer;

import java.util.concurrent.TimeUnit;
import org.larkkeel.peer.slots.SlotSettings;

/**
 * Times of leases and limits between nodes.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param slots times of slot leases
 * @param flush nanoseconds between two batches to one peer
 * @param failurePause nanoseconds without a batch after a failed one
 * @since 0.1
 */
public record LeaseSettings(SlotSettings slots, long flush, long failurePause) {

  /**
   * For a few nodes: a slot lease for each request.
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
   * For hundreds of nodes: slots that follow demand.
   *
   * @return the settings
   */
  public static LeaseSettings standing() {
    return new LeaseSettings(
        SlotSettings.standing(),
        TimeUnit.MILLISECONDS.toNanos(200),
        TimeUnit.MILLISECONDS.toNanos(1_000));
  }
}
