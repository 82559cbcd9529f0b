/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.config;

/**
 * How often a request of a rule may run.
 *
 * @since 0.1
 */
public enum Repeatability {
  /** Follows the method: GET, HEAD, OPTIONS, PUT, DELETE and completions are idempotent. */
  BY_METHOD,
  /** May run more than once. */
  IDEMPOTENT,
  /** Runs at most once. */
  NON_IDEMPOTENT
}
