/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.order;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import org.larkkeel.config.FencingSupport;
import org.larkkeel.lib.FencingNumber;
import org.larkkeel.lib.UpstreamName;

/**
 * The state of one engine as input of the planner. Immutable.
 *
 * @param upstream the name of the engine, never null
 * @param fencing whether the engine refuses stale fencing numbers, as configured by the operator,
 *     never null
 * @param declared the declared shape; empty if the engine is not in a pool or is leaving, in which
 *     case it gets no orders
 * @param reported the last reported shape; empty if unknown
 * @param reportedFencing the fencing number of the last order that the engine reported as accepted;
 *     0 if unknown
 * @param readSentAtNanos the scheduler's time at which the read of the report was sent, in
 *     nanoseconds
 * @param live true if the engine answers and accepts work
 * @param inProgress true if an order or a transfer of weights to the engine is in progress
 * @param pulled the weights that have been transferred to the engine, never null
 * @since 0.1
 */
public record EngineView(
    UpstreamName upstream,
    FencingSupport fencing,
    Optional<EngineShape> declared,
    Optional<EngineShape> reported,
    FencingNumber reportedFencing,
    long readSentAtNanos,
    boolean live,
    boolean inProgress,
    ImmutableSet<ModelVersion> pulled) {}
