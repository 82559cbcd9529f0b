/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.order;

import java.time.Duration;

/**
 * What the weight store answered to a pull. Immutable.
 *
 * @since 0.1
 */
public sealed interface PullResult {
  /**
   * The transfer has begun.
   *
   * @param takes how long it takes, never null
   */
  record Started(Duration takes) implements PullResult {}

  /**
   * The store's rate is used up.
   *
   * @param retryAfter how long it asks to wait, never null
   */
  record Throttled(Duration retryAfter) implements PullResult {}

  /** There was no answer, or a useless one. */
  record Failed() implements PullResult {}
}
