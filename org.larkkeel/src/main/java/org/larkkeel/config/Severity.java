/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.config;

/**
 * The severity of a problem.
 *
 * @since 0.1
 */
public enum Severity {
  /** The document or change is refused. */
  ERROR,
  /** The document or change is accepted, and the warning is shown to the operator. */
  WARNING
}
