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
 * All that the planner knows of one engine. Immutable.
 *
 * @param upstream its name, never null
 * @param fencing whether it refuses old fencing numbers, by the operator's word
 * @param declared what it should do; empty if it is not in a pool, or leaving: then it gets no
 *     orders
 * @param readBack what it last said that it does; empty if unknown
 * @param readFencing the number of the last order that it took, by what it said; 0 if unknown
 * @param readSentAt when that was asked, in nanoseconds
 * @param live whether it answers, and takes work
 * @param inProgress whether an order to it is in progress
 * @param pulled weights that are there
 * @since 0.1
 */
public record EngineView(
    UpstreamName upstream,
    FencingSupport fencing,
    Optional<EngineShape> declared,
    Optional<EngineShape> readBack,
    FencingNumber readFencing,
    long readSentAt,
    boolean live,
    boolean inProgress,
    ImmutableSet<ModelVersion> pulled) {}
