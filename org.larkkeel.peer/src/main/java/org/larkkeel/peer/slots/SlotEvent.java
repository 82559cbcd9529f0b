/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.slots;

import org.larkkeel.peer.membership.NodeId;

/**
 * An input of {@link SlotOwner}. Times are in nanoseconds of one monotonic clock.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @since 0.1
 */
public sealed interface SlotEvent {

  /**
   * Returns the time of the event.
   *
   * @return the time in nanoseconds
   */
  long now();

  /**
   * A holder sent a report.
   *
   * @param now the time of the event in nanoseconds
   * @param holder the node that sent the report
   * @param report the report
   */
  record Reported(long now, NodeId holder, SlotReport report) implements SlotEvent {}

  /**
   * The upstream reported its load.
   *
   * @param now the time of the event in nanoseconds
   * @param slots the number of slots of the upstream
   * @param running the number of slots in use when the upstream made the report
   */
  record Capacity(long now, int slots, int running) implements SlotEvent {}

  /**
   * A node died: its leases end, and its waiting requests are dropped.
   *
   * @param now the time of the event in nanoseconds
   * @param holder the dead incarnation
   */
  record HolderDead(long now, NodeId holder) implements SlotEvent {}

  /**
   * The time of {@link SlotOwner#nextDeadline()} was reached.
   *
   * @param now the time of the event in nanoseconds
   */
  record Tick(long now) implements SlotEvent {}
}
