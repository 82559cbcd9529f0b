/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.log;

/**
 * The state of knowledge of earlier attempts to append the same entry.
 *
 * @since 0.1
 */
public enum PriorAttempt {
  /** There was no earlier attempt, or all are known to have had no effect. */
  NONE,
  /** The outcome of an earlier attempt is unknown. */
  UNRESOLVED
}
