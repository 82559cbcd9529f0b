/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.slots;

import java.util.List;

/**
 * A holder's report of the slots it holds and the requests that wait for slots of one key.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param key identifies the leased slots
 * @param epoch the owner epoch, which increases each time the owner changes for this holder
 * @param sequence a number that increases with each report
 * @param seen the number of the last grant that {@code held} includes; 0 at the start of an epoch
 * @param held the number of slots held, in use or idle
 * @param waits the waiting requests, at most one entry per priority
 * @since 0.1
 */
public record SlotReport(
    String key, long epoch, long sequence, long seen, int held, List<Wait> waits) {

  /**
   * The waiting requests of one priority.
   *
   * @param priority the priority; greater values are served first
   * @param count the number of requests
   */
  public record Wait(int priority, int count) {}
}
