/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

/**
 * What came of a step of a move.
 *
 * @since 0.1
 */
public sealed interface MoveResult {
  /** The copy is there; a run may go on from it once. */
  record Copied(String handle) implements MoveResult {}

  /** The upstream has no such run: it is complete, or gone. */
  record NoRun() implements MoveResult {}

  /** There is no copy, or none is known of; the run may have been stopped if that was asked. */
  record Failed() implements MoveResult {}
}
