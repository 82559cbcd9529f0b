/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

/**
 * The upstreams chosen for a request, with the predicted times.
 *
 * @param upstream the prefill engine, or the service
 * @param decode the decode engine at which a slot is to be reserved; null if none is needed
 * @param firstNanos the predicted time until the first token, or until the answer of a plain call
 * @param totalNanos the predicted time until the complete answer
 * @since 0.1
 */
public record Choice(
    UpstreamState upstream, UpstreamState decode, long firstNanos, long totalNanos) {}
