/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.demo;

/** The result of one attempt of a caller. Immutable and safe for use by several threads. */
sealed interface AttemptResult {
  /** The complete answer, with the times of its first and last token since the attempt started. */
  record Answer(String body, long firstNanos, long lastNanos, int tokens)
      implements AttemptResult {}

  /** An error that the node answered. */
  record Refused(String kind, boolean notRun, boolean repeatable) implements AttemptResult {}

  /**
   * The connection failed: it could not be opened if {@code reached} is false, otherwise it broke
   * before the complete answer.
   */
  record Broken(String cause, boolean reached) implements AttemptResult {}
}
