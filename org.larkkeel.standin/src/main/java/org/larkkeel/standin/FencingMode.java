/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.standin;

/**
 * The treatment of orders whose fencing number is lower than one already accepted.
 *
 * @since 0.1
 */
public enum FencingMode {
  /** Refuses the order. */
  CHECK,
  /** Executes the order. */
  IGNORE
}
