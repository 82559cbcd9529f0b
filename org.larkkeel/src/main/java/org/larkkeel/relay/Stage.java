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
  /** Prefills and generates. */
  WHOLE,

  /** Only prefills prompts and hands over the results. */
  PREFILL,

  /** Generates, from a prompt that it or another upstream has prefilled. */
  DECODE;

  /** Returns whether an upstream of this stage can run a call. */
  public boolean runsCalls() {
    return this != PREFILL;
  }
}
