/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.upstream;

/**
 * Limits of the connections to upstreams.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param maxConnections connections to one upstream for requests, at least 1
 * @param reservedConnections further connections that only cancels and polls may use
 * @param maxWaiting requests to one upstream that wait for a connection
 * @param idleMillis a connection without a request is closed after this time
 * @param maxAnswerBytes largest answer that is read whole
 * @param maxEventBytes largest event of a stream
 * @since 0.1
 */
public record UpstreamClientSettings(
    int maxConnections,
    int reservedConnections,
    int maxWaiting,
    long idleMillis,
    int maxAnswerBytes,
    int maxEventBytes) {
  /** The limits of a node that sets none. */
  public static final UpstreamClientSettings DEFAULT =
      new UpstreamClientSettings(64, 4, 256, 15_000, 4 << 20, 256 << 10);
}
