/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.cli.output;

/**
 * The forms of output that {@code -o} chooses.
 *
 * @since 0.1
 */
public enum OutputFormat {
  /** Columns for people. */
  TABLE,
  /** JSON for programs. */
  JSON
}
