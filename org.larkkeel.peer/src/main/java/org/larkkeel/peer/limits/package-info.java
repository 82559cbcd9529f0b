/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Rate limits of workspaces across nodes.
 *
 * <p>{@link org.larkkeel.peer.limits.LimitOwner} runs on the node that owns the workspace and has
 * the token buckets; {@link org.larkkeel.peer.limits.LimitHolder} runs on the nodes that have
 * requests of the workspace, and asks for units as they are needed. Workspaces without requests
 * cost no messages. Both are deterministic state machines. Concurrency limits are slot leases.
 */
package org.larkkeel.peer.limits;
