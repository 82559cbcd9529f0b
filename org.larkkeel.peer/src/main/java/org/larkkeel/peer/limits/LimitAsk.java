/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.limits;

/**
 * A holder's need of units, with those it has not used.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param workspace whose limits
 * @param sequence grows with each ask; a repeated one gets the same grant
 * @param requestsWanted units of requests
 * @param tokensWanted units of prompt tokens
 * @param requestsReturned units given back
 * @param tokensReturned units given back
 * @param tokensOfNext prompt tokens of the request that is next; 0 if none waits
 * @since 0.1
 */
public record LimitAsk(
    String workspace,
    long sequence,
    long requestsWanted,
    long tokensWanted,
    long requestsReturned,
    long tokensReturned,
    long tokensOfNext) {}
