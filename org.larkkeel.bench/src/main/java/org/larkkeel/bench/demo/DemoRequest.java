/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.demo;

/** One request of the demo's load. Immutable and safe for use by several threads. */
sealed interface DemoRequest {
  /** A streamed completion of a long prompt. */
  record Dossier(String prompt, int maxTokens) implements DemoRequest {}

  /** A lookup, which may run more than once. */
  record Lookup(String path) implements DemoRequest {}

  /** A call with an idempotency key, which must run at most once. */
  record Order(String path, String reference, String key) implements DemoRequest {}
}
