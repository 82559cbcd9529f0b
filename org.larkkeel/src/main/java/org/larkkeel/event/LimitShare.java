/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.event;

/**
 * This node's share of the limits of one workspace; a part that is 0 in the limits is ignored.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param requestsPerSecond requests a second
 * @param promptTokensPerSecond prompt tokens a second
 * @param concurrency requests in progress at once
 * @since 0.1
 */
public record LimitShare(double requestsPerSecond, double promptTokensPerSecond, int concurrency) {}
