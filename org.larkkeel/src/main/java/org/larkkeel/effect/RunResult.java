/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.effect;

/**
 * How a claimed at-most-once run ended.
 *
 * @since 0.1
 */
public enum RunResult {
  /** The answer is known and is recorded with it. */
  DONE,
  /** Nothing was sent; the claim is given back and the key may be used again. */
  NOT_RUN,
  /** It may have run; the key is never run again. */
  UNKNOWN
}
