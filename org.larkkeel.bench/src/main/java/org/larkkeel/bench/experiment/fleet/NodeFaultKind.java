/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.fleet;

/**
 * The kinds of node faults.
 *
 * @since 0.1
 */
public enum NodeFaultKind {
  /** The process ends at once; a new one without its state starts at the end of the fault. */
  KILLED,
  /** The process stops running; at the end of the fault it handles all input of the period. */
  FROZEN,
  /**
   * The machine is suspended: like {@link #FROZEN}, but timers are delayed by the length of the
   * fault, while the clock includes it.
   */
  SUSPENDED,
  /** Packets between the node and all upstreams are dropped: its connections to them hang. */
  PATHS_DROPPED,
  /** The connections of the node to all upstreams are reset, and new ones are refused. */
  PATHS_RESET,
  /** New connections of the node to all upstreams are refused, while open ones work. */
  PATHS_REFUSED
}
