/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

/**
 * The state that a node reports of itself. Ordinals are sent, so the order of the constants must
 * not change.
 */
enum NodeState {
  /** The node has run for long enough to know the load of its peers. */
  STEADY,

  /** The node is newly started. */
  YOUNG,

  /** The node is stopping. */
  LEAVING
}
