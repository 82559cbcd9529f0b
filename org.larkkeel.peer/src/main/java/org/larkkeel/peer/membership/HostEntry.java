/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.membership;

import org.larkkeel.lib.HostName;

/**
 * One host of the platform's host list, which may be outdated.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param host the host, never null
 * @param address the address of its node, never null
 * @param leaving true if the platform is removing the host
 * @since 0.1
 */
public record HostEntry(HostName host, NodeAddress address, boolean leaving) {}
