/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.policy;

/**
 * How a naive router chooses among the upstreams that fit.
 *
 * @since 0.1
 */
public enum Choice {
  /** Any, by chance. */
  RANDOM,
  /** The one with the fewest requests of this router, then by chance. */
  LEAST_OUTSTANDING
}
