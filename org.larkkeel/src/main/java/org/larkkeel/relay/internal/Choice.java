/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

/**
 * The chosen upstream and its alternatives.
 *
 * @param best the upstream with the lowest cost
 * @param cost its estimated cost in weighted nanoseconds
 * @param runnerUp the name of the upstream with the second lowest cost; empty if there is none
 * @param runnerUpCost its estimated cost in weighted nanoseconds
 * @param candidates the number of upstreams that could have been chosen
 */
record Choice(
    UpstreamState best, double cost, String runnerUp, double runnerUpCost, int candidates) {}
