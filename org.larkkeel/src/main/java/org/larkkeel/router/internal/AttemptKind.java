/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

/**
 * What an attempt does.
 *
 * @since 0.1
 */
public enum AttemptKind {
  /** Claims an at-most-once run; it has no upstream. */
  CLAIM,
  /** Computes a KV cache and holds it. */
  PREFILL,
  /** Imports a KV cache and generates from it. */
  DECODE,
  /** Sends a plain call. */
  PLAIN
}
