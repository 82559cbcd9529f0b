/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.limits;

/**
 * The units that an ask gets.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param workspace whose limits
 * @param sequence of the ask
 * @param requests units of requests
 * @param tokens units of prompt tokens
 * @param retryAfter nanoseconds until what is missing may be there; 0 if nothing is missing
 * @since 0.1
 */
public record LimitGrant(
    String workspace, long sequence, long requests, long tokens, long retryAfter) {}
