/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import org.larkkeel.lib.UpstreamLife;

/**
 * The limit of an upstream's requests, and how much this node has used of it.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param life of which upstream, never null
 * @param limit the limit, never null
 * @param ageNanos how long ago an answer has shown it, at the latest
 * @param sent requests of this node since it has known a limit
 * @since 0.1
 */
public record RateUse(UpstreamLife life, RequestRate limit, long ageNanos, long sent) {}
