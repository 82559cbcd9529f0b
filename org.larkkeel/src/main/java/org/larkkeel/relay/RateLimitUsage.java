/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import org.larkkeel.lib.UpstreamIncarnation;

/**
 * The request rate limit of an upstream and this node's usage of it.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param upstream the incarnation of the upstream, never null
 * @param limit the limit, never null
 * @param ageNanos an upper bound of the time since an answer announced the limit
 * @param sent the number of requests that this node has sent since it has known a limit
 * @since 0.1
 */
public record RateLimitUsage(
    UpstreamIncarnation upstream, RequestRate limit, long ageNanos, long sent) {}
