/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.transport;

import java.time.Duration;

/**
 * Bounds of the calls between nodes.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param connectTimeout for a connection and its handshake
 * @param callTimeout for an answer
 * @param idleTimeout after which an unused connection is closed
 * @param connectionsPerPeer the most idle connections kept to one peer
 * @param maxConnections the most connections a server serves; more are closed at once
 * @param maxRequestBytes the largest frame a server reads
 * @param maxReplyBytes the largest frame a client reads
 * @since 0.1
 */
public record TransportSettings(
    Duration connectTimeout,
    Duration callTimeout,
    Duration idleTimeout,
    int connectionsPerPeer,
    int maxConnections,
    int maxRequestBytes,
    int maxReplyBytes) {

  /**
   * The settings for nodes some milliseconds apart.
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
