/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Quotas that are held by the sum of all nodes: tokens of workspaces, requests of upstreams.
 *
 * <p>A quota refills with time, and each node is the source of one share of that time: with n
 * nodes, one second of a node's time is worth 1/n second of each quota's rate. A node lends its
 * time to the coordinator, whose {@link org.larkkeel.quota.QuotaPool} turns it into tokens and
 * grants these to the nodes that ask; a node that reaches no coordinator spends its own time. As no
 * moment of a node's time is both lent and spent, and no tokens are created otherwise, the sum over
 * all nodes is bounded whoever is cut off, killed, suspended, or believes to be the coordinator.
 * Messages that are lost lose tokens.
 *
 * <p>Everything here is deterministic: times, in nanoseconds of a steady clock, come in with the
 * calls.
 */
package org.larkkeel.quota;
