/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.config;

/**
 * The limits of a workspace over all nodes together; 0 means unlimited.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param requestsPerSecond accepted requests a second
 * @param promptTokensPerSecond accepted prompt tokens a second
 * @param concurrency requests in progress at once
 * @since 0.1
 */
public record Limits(long requestsPerSecond, long promptTokensPerSecond, int concurrency) {
  /** No limits. */
  public static final Limits NONE = new Limits(0, 0, 0);
}
