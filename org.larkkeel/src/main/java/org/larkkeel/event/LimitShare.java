/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.event;

/**
 * This node's share of the limits of one workspace; a component is ignored if the corresponding
 * limit is 0.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param requestsPerSecond requests per second
 * @param promptTokensPerSecond prompt tokens per second
 * @param concurrency the maximum number of requests in progress
 * @since 0.1
 */
public record LimitShare(double requestsPerSecond, double promptTokensPerSecond, int concurrency) {}
