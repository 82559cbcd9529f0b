/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router;

/**
 * The rule by which an upstream is chosen among those with free capacity.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @since 0.1
 */
public sealed interface PlacementPolicy {
  /**
   * Chooses the pair of a prefill and a decode engine with the minimum predicted finish time,
   * computed from measured speeds, the prefix caches, link times and slots.
   *
   * @param sample the number of upstreams of a role that are sampled for comparison, at least 1;
   *     all of them if there are no more
   */
  record PredictedFinish(int sample) implements PlacementPolicy {}

  /** Chooses a random upstream with free capacity, regardless of its load. */
  record Random() implements PlacementPolicy {}

  /** Chooses the upstream with free capacity that has the fewest requests of this node. */
  record LeastOutstanding() implements PlacementPolicy {}
}
