/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import org.larkkeel.lib.DataCentreName;
import org.larkkeel.quota.QuotaTolerance;

/**
 * The settings of the relay's reducer.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param dataCentre the data centre of this node; upstreams there are preferred
 * @param repeatShare the retries allowed for each first attempt, over all nodes
 * @param repeatSlack the additional retries of a service in a window, over all nodes
 * @param windowNanos the length of that window
 * @param nodes the number of nodes over which the slack is split until the nodes are counted, at
 *     least 1
 * @param stageTokens the minimum size of prompts that are prefilled at a prefill upstream
 * @param missingNanos the time for which an upstream may be used after it was removed without
 *     notice
 * @param seed the seed of random choices
 * @param tolerance the tolerance by which the quota of a workspace may be exceeded
 * @since 0.1
 */
public record RelaySettings(
    DataCentreName dataCentre,
    double repeatShare,
    double repeatSlack,
    long windowNanos,
    int nodes,
    int stageTokens,
    long missingNanos,
    long seed,
    QuotaTolerance tolerance) {}
