/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router;

/**
 * How an upstream is chosen among those that fit.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @since 0.1
 */
public sealed interface PlacementPolicy {
  /**
   * The least predicted finish time over pairs of a prefill and a decode engine, from learnt rates,
   * the prefix cache, link times and slots.
   *
   * @param sample upstreams of a role that are compared, at least 1; all of them if there are no
   *     more
   */
  record PredictedFinish(int sample) implements PlacementPolicy {}

  /** Any fitting upstream, whatever its load. */
  record Random() implements PlacementPolicy {}

  /** The fitting upstream with the fewest requests of this node. */
  record LeastOutstanding() implements PlacementPolicy {}
}
