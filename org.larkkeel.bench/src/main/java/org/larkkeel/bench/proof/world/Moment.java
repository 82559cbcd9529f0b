/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.proof.world;

/**
 * When a fault comes, relative to a step.
 *
 * @since 0.1
 */
public enum Moment {
  /** Before the step has any effect. */
  BEFORE,
  /** After it took effect at the far side, or in the node, and before anything is answered. */
  AFTER_EFFECT,
  /** After the node has taken the answer. */
  AFTER_ANSWER
}
