/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.standin;

/**
 * What an engine does.
 *
 * @since 0.1
 */
public enum EngineRole {
  /** Reads prompts and hands over KV caches. */
  PREFILL,
  /** Takes KV caches and writes answers. */
  DECODE
}
