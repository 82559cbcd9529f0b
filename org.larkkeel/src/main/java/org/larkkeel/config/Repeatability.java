/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.config;

/**
 * The rule on whether a request may be run more than once.
 *
 * @since 0.1
 */
public enum Repeatability {
  /** Depends on the HTTP method: GET, HEAD, OPTIONS, PUT, DELETE and completions are idempotent. */
  BY_METHOD,
  /** A request may be run more than once. */
  IDEMPOTENT,
  /** A request is run at most once. */
  NON_IDEMPOTENT
}
