/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.membership;

import org.larkkeel.lib.HostName;

/**
 * One host of the platform's host list, which lags.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param host the host, never null
 * @param address where its node listens, never null
 * @param leaving true if the platform is taking the host away
 * @since 0.1
 */
public record HostEntry(HostName host, NodeAddress address, boolean leaving) {}
