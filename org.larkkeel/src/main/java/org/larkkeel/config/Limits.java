/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.config;

/**
 * The limits of a workspace, which apply to the sum over all nodes; 0 means unlimited.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param requestsPerSecond the maximum number of accepted requests per second
 * @param promptTokensPerSecond the maximum number of accepted prompt tokens per second
 * @param concurrency the maximum number of requests in progress at the same time
 * @since 0.1
 */
public record Limits(long requestsPerSecond, long promptTokensPerSecond, int concurrency) {
  /** No limits. */
  public static final Limits NONE = new Limits(0, 0, 0);
}
