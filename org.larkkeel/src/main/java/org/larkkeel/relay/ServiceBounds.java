/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

/**
 * The limits of each upstream of a service, over all nodes.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param connections the maximum number of connections
 * @param memoryTokens the maximum number of tokens that the requests in progress hold together; 0
 *     for no such limit
 * @param tokensPerEvent the number of tokens that one event of a stream represents; 0 if unknown
 * @param movesRuns true if a run's memory can be copied to another upstream
 * @since 0.1
 */
public record ServiceBounds(
    int connections, long memoryTokens, int tokensPerEvent, boolean movesRuns) {
  /** No limits. */
  public static final ServiceBounds NONE = new ServiceBounds(Integer.MAX_VALUE, 0, 0, false);
}
