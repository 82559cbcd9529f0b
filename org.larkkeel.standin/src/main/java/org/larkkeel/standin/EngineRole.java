/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.standin;

/**
 * The role of an engine.
 *
 * @since 0.1
 */
public enum EngineRole {
  /** Prefills prompts and exports their KV caches. */
  PREFILL,
  /** Imports KV caches and decodes answers. */
  DECODE
}
