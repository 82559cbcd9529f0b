/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.errors;

/**
 * The advice to a refused caller about retrying the request.
 *
 * @since 0.1
 */
public enum Repeat {
  /** A retry of the same request gets the same answer. */
  NEVER,
  /** The request may be retried after a delay. */
  LATER,
  /** The request may be retried only if it may run twice. */
  IF_IDEMPOTENT
}
