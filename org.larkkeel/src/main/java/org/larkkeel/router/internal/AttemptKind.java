/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

/**
 * The kind of work of an attempt.
 *
 * @since 0.1
 */
public enum AttemptKind {
  /** Claims an at-most-once run; has no upstream. */
  CLAIM,
  /** Computes a KV cache and holds it for the transfer. */
  PREFILL,
  /** Imports a KV cache and generates tokens from it. */
  DECODE,
  /** Sends a plain call. */
  PLAIN
}
