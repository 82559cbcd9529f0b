/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

/**
 * Where a request goes.
 *
 * @param first the prefill engine, or the service
 * @param decode the decode engine that promises a slot; null if none has to
 * @param firstNanos predicted time until the first token, or until the answer of a plain call
 * @param lastNanos predicted time until the whole answer
 * @since 0.1
 */
public record Choice(UpstreamState first, UpstreamState decode, long firstNanos, long lastNanos) {}
