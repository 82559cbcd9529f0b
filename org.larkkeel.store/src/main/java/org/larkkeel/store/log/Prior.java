/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.log;

/**
 * What is known of earlier attempts to append the same entry.
 *
 * @since 0.1
 */
public enum Prior {
  /** There was none, or it is known to have had no effect. */
  NONE,
  /** The outcome of one is unknown. */
  UNRESOLVED
}
