/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.effect;

/**
 * The way in which a claimed at-most-once run ended.
 *
 * @since 0.1
 */
public enum RunResult {
  /** The answer is known and is recorded with the result. */
  DONE,
  /** Nothing was sent; the claim is released and the key may be used again. */
  NOT_RUN,
  /** The request may have run; the key is never run again. */
  UNKNOWN
}
