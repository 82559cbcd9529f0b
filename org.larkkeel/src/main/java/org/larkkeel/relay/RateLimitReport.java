/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import java.util.Optional;
import org.larkkeel.lib.UpstreamIncarnation;

/**
 * A node's report to its peers about the request rate limit of an upstream.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param upstream the incarnation of the upstream, never null
 * @param limit the limit; empty if the limit has ended
 * @param ageNanos an upper bound of the time since the limit was observed; at least 0
 * @since 0.1
 */
public record RateLimitReport(
    UpstreamIncarnation upstream, Optional<RequestRate> limit, long ageNanos) {}
