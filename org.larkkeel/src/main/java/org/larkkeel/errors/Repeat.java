/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.errors;

/**
 * Advice on repeating a refused request.
 *
 * @since 0.1
 */
public enum Repeat {
  /** Repeating the same request gets the same answer. */
  NEVER,
  /** The request may be repeated after a delay. */
  LATER,
  /** Only a request that may run twice may be repeated. */
  IF_IDEMPOTENT
}
