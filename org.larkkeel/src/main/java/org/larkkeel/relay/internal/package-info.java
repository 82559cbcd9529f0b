/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Implementation of the relay router's reducer: admission, placement, reservations, attempts,
 * retries, quarantine and evacuation. Internal; not part of the API.
 *
 * <p>Calls wait in one order, at each node that reserves memory: streams, then rank, then calls
 * that can meet their target, then those not rejected before, then the share of the workspace, then
 * arrival. Invariant: no call is granted before a more urgent one that waits and would fit, except
 * that each rank that waits gets its {@link org.larkkeel.relay.internal.RankFloor}. Load: two kinds
 * of generations of different urgency at engines that are full. Bounds: one entry for each waiting
 * call; a pass over the queue sorts it at most twice, and there are at most eight passes an event.
 */
package org.larkkeel.relay.internal;
