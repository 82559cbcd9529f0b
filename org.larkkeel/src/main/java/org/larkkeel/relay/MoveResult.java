/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

/**
 * The result of one step of moving a run.
 *
 * @since 0.1
 */
public sealed interface MoveResult {
  /** The copy is complete; one run can continue from it, once. */
  record Copied(String handle) implements MoveResult {}

  /** The upstream does not have this run: it has completed, or the upstream no longer knows it. */
  record NoRun() implements MoveResult {}

  /**
   * No copy exists as far as this node knows; the run may have been stopped if this was requested.
   */
  record Failed() implements MoveResult {}
}
