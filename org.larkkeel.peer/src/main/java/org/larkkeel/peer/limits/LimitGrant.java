/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.limits;

/**
 * The owner's answer to a request for units of a workspace's rate limits.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param workspace the name of the workspace
 * @param sequence the sequence number of the message that this answers
 * @param requests the granted number of requests
 * @param tokens the granted number of prompt tokens
 * @param retryAfter the nanoseconds until the missing units may be available; 0 if none is missing
 * @since 0.1
 */
public record LimitGrant(
    String workspace, long sequence, long requests, long tokens, long retryAfter) {}
