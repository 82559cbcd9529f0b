/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

/**
 * The part of a request's work that an upstream takes.
 *
 * @since 0.1
 */
public enum Stage {
  /** The whole of it. */
  WHOLE,

  /** Reads prompts and hands the result over; runs nothing. */
  PREFILL,

  /** Generates, from a prompt read elsewhere or by itself. */
  DECODE;

  /** Whether an upstream of this stage can run a call. */
  public boolean runs() {
    return this != PREFILL;
  }
}
