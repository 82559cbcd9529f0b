/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.demo;

/** What one attempt of a caller brought. Immutable and safe for use by several threads. */
sealed interface AttemptResult {
  /** The whole answer, with the times of its first and last token after the attempt began. */
  record Answer(String body, long firstNanos, long lastNanos, int tokens)
      implements AttemptResult {}

  /** An error that the node told. */
  record Refused(String kind, boolean notRun, boolean repeatable) implements AttemptResult {}

  /** The connection failed, before it was made if not reached, else before the whole answer. */
  record Broken(String cause, boolean reached) implements AttemptResult {}
}
