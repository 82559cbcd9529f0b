/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.run;

/**
 * The outcome of an attempt to run a request.
 *
 * @since 0.1
 */
public sealed interface RunOutcome {

  /**
   * The request ran and was answered.
   *
   * @param answer the answer; kept only if it does not exceed the maximum size
   */
  record Answered(RecordedAnswer answer) implements RunOutcome {}

  /** The request certainly did not run; it may be claimed again. */
  record NotRun() implements RunOutcome {}

  /** The request may have run, so that it is not run again. */
  record Unknown() implements RunOutcome {}
}
