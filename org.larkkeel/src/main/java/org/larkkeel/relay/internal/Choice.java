/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

/**
 * The upstream that was chosen, and against what.
 *
 * @param best the cheapest
 * @param cost its estimate
 * @param runnerUp the name of the next; empty if there is none
 * @param runnerUpCost its estimate
 * @param candidates how many could have been chosen
 */
record Choice(
    UpstreamState best, double cost, String runnerUp, double runnerUpCost, int candidates) {}
