/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.order;

import java.time.Duration;

/**
 * The weight store's answer to a pull. Immutable.
 *
 * @since 0.1
 */
public sealed interface PullResult {
  /**
   * The transfer has started.
   *
   * @param duration the expected duration of the transfer, never null
   */
  record Started(Duration duration) implements PullResult {}

  /**
   * The weight store's rate limit is reached.
   *
   * @param retryAfter the time to wait before a retry, never null
   */
  record Throttled(Duration retryAfter) implements PullResult {}

  /** There was no answer, or an unusable one. */
  record Failed() implements PullResult {}
}
