/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import org.larkkeel.lib.DataCentreName;
import org.larkkeel.quota.QuotaTolerance;

/**
 * What bounds and steers the relay's reducer.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param place where this node runs; upstreams there are preferred
 * @param repeatShare repeats that each first attempt earns, over all nodes
 * @param repeatSlack repeats of a service in a window beyond that, over all nodes
 * @param windowNanos the length of that window
 * @param nodes over how many nodes the slack is split until they are counted, at least 1
 * @param stageTokens the size from which prompts are read at a prefill upstream
 * @param missingNanos how long an upstream may be used after it was removed without a notice
 * @param seed of random choices
 * @param tolerance by how much the quota of a workspace may be exceeded
 * @since 0.1
 */
public record RelaySettings(
    DataCentreName place,
    double repeatShare,
    double repeatSlack,
    long windowNanos,
    int nodes,
    int stageTokens,
    long missingNanos,
    long seed,
    QuotaTolerance tolerance) {}
