/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.settings;

/**
 * The minimum severity of the lines that are logged.
 *
 * @since 0.1
 */
public enum LogLevel {
  /** Failures that an operator must act on. */
  ERROR,
  /** Also conditions that an operator may have to act on. */
  WARN,
  /** Also one line for each request and each change. */
  INFO,
  /** Also one line for each attempt. */
  DEBUG
}
