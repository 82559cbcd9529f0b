/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.balance;

/**
 * A kind of an engine's work, whose speed is measured by itself.
 *
 * <p>Ordinals are sent between nodes, so the order of the constants must not change.
 *
 * @since 0.1
 */
public enum WorkKind {
  /** Generating output; a unit of work is one event of a stream. */
  RUN,

  /** Prefilling prompts for other engines; a unit of work is one token of a prompt. */
  PREFILL
}
