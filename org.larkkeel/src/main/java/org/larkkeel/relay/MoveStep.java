/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

/**
 * The steps in which a run moves to another upstream.
 *
 * @since 0.1
 */
public enum MoveStep {
  /** What there is so far is copied while the run goes on. */
  COPY,

  /** The run stops, its stream ends without its end, and the rest is copied. */
  STOP
}
