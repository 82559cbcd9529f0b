/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Quotas enforced over the sum of all nodes: tokens of workspaces, requests to upstreams.
 *
 * <p>A quota refills with time, and each node is the source of one share of that time: with n
 * nodes, one second of a node's time is worth 1/n second of each quota's rate. A node lends its
 * time to the coordinator, whose {@link org.larkkeel.quota.QuotaCoordinator} converts it into
 * tokens and grants them to the nodes that request them; a node that reaches no coordinator spends
 * its own time. No moment of a node's time is both lent and spent, and tokens are created in no
 * other way. Therefore the sum over all nodes is bounded, whichever nodes are partitioned, killed,
 * suspended, or act as coordinator at the same time. A lost message loses its tokens.
 *
 * <p>The tokens of a workspace go to its more urgent calls first: a node serves its waiting calls
 * by rank, and the coordinator withholds from less urgent demands what the most urgent rank was
 * granted in the last second, at most half of the maximum level. This creates no tokens.
 *
 * <p>Load: a workspace that asks for several times its quota, with urgent calls among the others.
 * Bounds: one account for each quota in use on a node, and one level for each at the coordinator.
 *
 * <p>Everything here is deterministic: callers pass the times, in nanoseconds of a steady clock.
 */
package org.larkkeel.quota;
