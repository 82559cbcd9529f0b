/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.slots;

import java.util.List;

/**
 * What a holder has and wants of one key.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param key names what is leased
 * @param epoch grows each time the holder sees another owner
 * @param sequence grows with each report
 * @param seen the number of the last grant that {@code held} includes; 0 at the start of an epoch
 * @param held the slots held, in use or idle
 * @param waits what waits for slots, at most one entry a priority
 * @since 0.1
 */
public record SlotReport(
    String key, long epoch, long sequence, long seen, int held, List<Wait> waits) {

  /**
   * Requests that wait.
   *
   * @param priority greater goes first
   * @param count how many
   */
  public record Wait(int priority, int count) {}
}
