/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

/**
 * How this node gets memory reservations at upstreams.
 *
 * @since 0.1
 */
public enum ReservationMode {
  /** This node reserves memory itself, based on the load reports of the other nodes. */
  EACH,

  /**
   * This node requests reservations from the coordinator, which has the most accurate view of the
   * free memory.
   */
  ASK,

  /** This node is the coordinator: it reserves memory for the calls of all nodes, in one order. */
  KEEP
}
