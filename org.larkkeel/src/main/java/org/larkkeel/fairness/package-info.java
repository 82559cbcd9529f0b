/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Fair shares of a service between the workspaces that compete for it.
 *
 * <p>Invariant: {@link org.larkkeel.fairness.FairShares} only orders calls. It never holds a call
 * back while capacity is free, so that a workspace that is alone gets all capacity. Between two
 * workspaces whose calls wait all the time and are granted in the order of their start tags, the
 * granted cost differs by at most one largest call of each, over any period.
 *
 * <p>The load that it answers: a hot workspace sends several times its usual calls while the
 * engines are full, and would take the places of the other workspaces. Its bounds: one account for
 * each workspace with a call that waits or whose last grant lies ahead of the virtual time.
 *
 * <p>Everything here is deterministic and uses no time.
 */
package org.larkkeel.fairness;
