/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.cli.output;

/**
 * The output formats of the option {@code -o}.
 *
 * @since 0.1
 */
public enum OutputFormat {
  /** Text in columns, for people. */
  TABLE,
  /** JSON for programs. */
  JSON
}
