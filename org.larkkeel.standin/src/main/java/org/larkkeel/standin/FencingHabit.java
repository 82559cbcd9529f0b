/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.standin;

/**
 * What an engine does with an order that carries an old fencing number.
 *
 * @since 0.1
 */
public enum FencingHabit {
  /** Refuses the order. */
  CHECK,
  /** Carries it out. */
  IGNORE
}
