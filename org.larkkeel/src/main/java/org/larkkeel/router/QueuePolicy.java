/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router;

/**
 * The handling of a request that can't be placed at once.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @since 0.1
 */
public sealed interface QueuePolicy {
  /** No request waits in the router: each is sent at once and waits inside an engine. */
  record Immediate() implements QueuePolicy {}

  /**
   * Requests wait in the router, ordered by prompt size, target time and workspace. A request that
   * can't meet its target is refused early if its rule is interactive, and is otherwise served
   * after the others.
   */
  record ByDeadline() implements QueuePolicy {}
}
