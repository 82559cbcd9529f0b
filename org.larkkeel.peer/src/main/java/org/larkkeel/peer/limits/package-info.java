/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Rate limits of workspaces across nodes.
 *
 * <p>{@link org.larkkeel.peer.limits.LimitOwner} runs on the node that owns the workspace and has
 * the token buckets; {@link org.larkkeel.peer.limits.LimitHolder} runs on each node that receives
 * requests of the workspace, and requests units as needed. Both are deterministic state machines.
 * Workspaces without requests cause no messages. Concurrency limits are implemented by slot leases,
 * not here.
 */
package org.larkkeel.peer.limits;
