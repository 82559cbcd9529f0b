/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

/**
 * The steps of moving a run to another upstream.
 *
 * @since 0.1
 */
public enum MoveStep {
  /** Copies the current memory of the run while the run continues. */
  COPY,

  /**
   * Stops the run, which ends its stream without an end marker, and copies the remaining memory.
   */
  STOP
}
