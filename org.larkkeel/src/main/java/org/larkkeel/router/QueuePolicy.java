/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router;

/**
 * What happens to a request that can't be placed at once.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @since 0.1
 */
public sealed interface QueuePolicy {
  /** Nothing waits in the router: each request is sent on at once and waits inside an engine. */
  record Immediate() implements QueuePolicy {}

  /**
   * Requests wait in the router by class, deadline and workspace; what can't meet its target is
   * refused early or, if its class can wait, served after the others.
   */
  record ByDeadline() implements QueuePolicy {}
}
