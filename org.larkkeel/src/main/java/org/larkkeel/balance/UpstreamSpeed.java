/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.balance;

import org.larkkeel.lib.UpstreamIncarnation;

/**
 * The speed of one engine, as the reservation coordinator reports it to other nodes.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param upstream the engine
 * @param kind the kind of work
 * @param speedThousandths the speed in thousandths of the service's median; a greater value is
 *     faster
 * @param ageMillis the time since the last sample, in milliseconds
 * @since 0.1
 */
public record UpstreamSpeed(
    UpstreamIncarnation upstream, WorkKind kind, long speedThousandths, long ageMillis) {}
