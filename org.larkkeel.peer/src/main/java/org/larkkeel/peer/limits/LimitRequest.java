/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.limits;

/**
 * A holder's request for units of a workspace's rate limits, which also returns unused units.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param workspace the name of the workspace
 * @param sequence a number that increases with each message; a retransmission gets the same grant
 * @param requestsWanted the requested number of requests
 * @param tokensWanted the requested number of prompt tokens
 * @param requestsReturned the unused number of requests that the holder returns
 * @param tokensReturned the unused number of prompt tokens that the holder returns
 * @param tokensOfNext the prompt tokens of the first waiting request; 0 if none waits
 * @since 0.1
 */
public record LimitRequest(
    String workspace,
    long sequence,
    long requestsWanted,
    long tokensWanted,
    long requestsReturned,
    long tokensReturned,
    long tokensOfNext) {}
