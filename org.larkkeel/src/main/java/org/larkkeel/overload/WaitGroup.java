/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.overload;

/**
 * The calls among which a call waits; within a rank, the first group goes before the second.
 *
 * @since 0.1
 */
public enum WaitGroup {
  /** Calls that are forecast to meet their targets. */
  ON_TIME,

  /** Calls that miss their targets, but can be served before their callers abandon them. */
  BACKLOG
}
