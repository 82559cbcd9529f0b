/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.settings;

/**
 * The least grave lines that are logged.
 *
 * @since 0.1
 */
public enum LogLevel {
  /** Failures that need somebody. */
  ERROR,
  /** Also what may need somebody. */
  WARN,
  /** Also one line for each request and change. */
  INFO,
  /** Also each attempt. */
  DEBUG
}
