/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.run;

/**
 * How an attempt ended.
 *
 * @since 0.1
 */
public sealed interface RunOutcome {

  /**
   * The request ran and was answered.
   *
   * @param answer the answer; kept only up to the limit of size
   */
  record Answered(RecordedAnswer answer) implements RunOutcome {}

  /** The request certainly did not run; the key may be claimed again. */
  record NotRun() implements RunOutcome {}

  /** The request may have run; the key is never run again. */
  record Unknown() implements RunOutcome {}
}
