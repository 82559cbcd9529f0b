/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.upstream;

/**
 * Limits of connections to upstreams and of their responses.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param maxConnections the maximum number of connections to one upstream for requests, at least 1
 * @param reservedConnections the number of further connections that only cancels and polls may use
 * @param maxWaiting the maximum number of requests to one upstream that wait for a connection
 * @param idleMillis the time after which an idle connection is closed
 * @param maxResponseBytes the maximum size of a response that is collected completely
 * @param maxEventBytes the maximum size of an event of a stream
 * @param maxOverheadBytes the maximum number of bytes of a response before its first content, or
 *     between two parts of its content: heads, interim responses, and what frames the body
 * @since 0.1
 */
public record UpstreamClientSettings(
    int maxConnections,
    int reservedConnections,
    int maxWaiting,
    long idleMillis,
    int maxResponseBytes,
    int maxEventBytes,
    int maxOverheadBytes) {
  private static final int DEFAULT_MAX_OVERHEAD_BYTES = 64 << 10;

  /** The default limits. */
  public static final UpstreamClientSettings DEFAULT =
      new UpstreamClientSettings(64, 4, 256, 15_000, 4 << 20, 256 << 10);

  /** Creates limits with the default maximum number of bytes without content. */
  public UpstreamClientSettings(
      int maxConnections,
      int reservedConnections,
      int maxWaiting,
      long idleMillis,
      int maxResponseBytes,
      int maxEventBytes) {
    this(
        maxConnections,
        reservedConnections,
        maxWaiting,
        idleMillis,
        maxResponseBytes,
        maxEventBytes,
        DEFAULT_MAX_OVERHEAD_BYTES);
  }
}
