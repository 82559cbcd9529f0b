/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.proof.world;

/**
 * The moment at which a fault is injected, relative to a step.
 *
 * @since 0.1
 */
public enum Moment {
  /** Before the step has any effect. */
  BEFORE,
  /** After the step took effect at the receiver, or in the node, and before it is answered. */
  AFTER_EFFECT,
  /** After the node has processed the answer. */
  AFTER_ANSWER
}
