/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.transport;

import java.time.Duration;

/**
 * Timeouts and limits of the calls between nodes.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param connectTimeout the timeout for connecting and for each read during the handshake
 * @param callTimeout the timeout for each read of an answer
 * @param idleTimeout the time after which an unused connection is closed
 * @param maxIdlePerPeer the maximum number of idle connections kept per peer
 * @param maxConnections the maximum number of connections that a server serves; further ones are
 *     closed at once
 * @param maxRequestBytes the maximum frame size that a server reads
 * @param maxReplyBytes the maximum frame size that a client reads
 * @since 0.1
 */
public record TransportSettings(
    Duration connectTimeout,
    Duration callTimeout,
    Duration idleTimeout,
    int maxIdlePerPeer,
    int maxConnections,
    int maxRequestBytes,
    int maxReplyBytes) {

  /**
   * Returns the settings for nodes with some milliseconds of latency between them.
   *
   * @return the defaults
   */
  public static TransportSettings defaults() {
    return new TransportSettings(
        Duration.ofMillis(500),
        Duration.ofMillis(1_000),
        Duration.ofSeconds(10),
        2,
        1_024,
        64 * 1_024,
        4 * 1_024 * 1_024);
  }
}
