/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.balance;

/**
 * What became of a sample.
 *
 * @since 0.1
 */
public enum SampleResult {
  /** The sample is part of the engine's estimate. */
  USED,

  /** The estimate has a sample of nearly the same time, so this one was not needed. */
  TOO_SOON,

  /** Other prompts were queued before, so that the sample shows the queue and not the engine. */
  QUEUED,

  /** No engine can have worked at this speed, so the sample was dropped. */
  IMPLAUSIBLE,

  /** The engine is not known, so the sample was dropped. */
  UNKNOWN_UPSTREAM
}
