/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

/**
 * What each upstream of a service bears, over all nodes.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param connections the most connections
 * @param memoryTokens the tokens that requests in progress may hold together; 0 if it has no such
 *     bound
 * @param tokensPerEvent the tokens that one event of a stream stands for; 0 if unknown
 * @param movesRuns whether a run's memory can be copied to another upstream
 * @since 0.1
 */
public record ServiceBounds(
    int connections, long memoryTokens, int tokensPerEvent, boolean movesRuns) {
  /** No bounds. */
  public static final ServiceBounds NONE = new ServiceBounds(Integer.MAX_VALUE, 0, 0, false);
}
