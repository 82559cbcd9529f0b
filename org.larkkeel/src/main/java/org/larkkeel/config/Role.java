/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.config;

/**
 * The role of the upstreams of a pool.
 *
 * @since 0.1
 */
public enum Role {
  /** Computes the KV cache of a prompt. */
  PREFILL,
  /** Generates tokens from an imported KV cache. */
  DECODE,
  /** Answers plain HTTP calls. */
  SERVICE
}
