/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.upstream;

/**
 * The connection of a request, and the place of the request on it.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param localPort the local port of the connection; 0 if it is unknown
 * @param remote the address and port of the other end, which is another node if the connection is a
 *     tunnel; empty if it is unknown
 * @param requestNumber the number of the request on the connection, from 1
 * @param idleNanos the time since the previous request on the connection ended; 0 for the first
 * @since 0.1
 */
public record ConnectionPosition(int localPort, String remote, int requestNumber, long idleNanos) {
  /** The place of a request that has no connection. */
  public static final ConnectionPosition NONE = new ConnectionPosition(0, "", 0, 0);
}
