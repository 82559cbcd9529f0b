/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.policy;

/**
 * The strategies by which {@link NaiveRouter} selects one of the matching upstreams.
 *
 * @since 0.1
 */
public enum SelectionStrategy {
  /** Selects a random upstream. */
  RANDOM,
  /** Selects the upstream with the fewest requests of this router; ties at random. */
  LEAST_OUTSTANDING
}
