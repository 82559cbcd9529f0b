/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.slots;

import org.larkkeel.peer.membership.NodeId;

/**
 * What happens to a {@link SlotOwner}. Times are nanoseconds of one monotonic clock.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @since 0.1
 */
public sealed interface SlotEvent {

  /**
   * When the event happened.
   *
   * @return nanoseconds
   */
  long now();

  /**
   * A holder reported.
   *
   * @param now nanoseconds
   * @param holder who
   * @param report what it has and wants
   */
  record Reported(long now, NodeId holder, SlotReport report) implements SlotEvent {}

  /**
   * The upstream reported its load.
   *
   * @param now nanoseconds
   * @param slots how many there are
   * @param running how many were in use when the report was made
   */
  record Capacity(long now, int slots, int running) implements SlotEvent {}

  /**
   * A node died: its leases end and its asks are dropped.
   *
   * @param now nanoseconds
   * @param holder the dead incarnation
   */
  record HolderDead(long now, NodeId holder) implements SlotEvent {}

  /**
   * Time has passed; due at {@link SlotOwner#nextDeadline()}.
   *
   * @param now nanoseconds
   */
  record Tick(long now) implements SlotEvent {}
}
