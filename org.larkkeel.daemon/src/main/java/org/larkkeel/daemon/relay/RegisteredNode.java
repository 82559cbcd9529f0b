/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import java.net.InetSocketAddress;
import java.util.Optional;
import org.larkkeel.lib.HostName;

/**
 * A node that is registered in the store. It may have ended since.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name under which it is registered; empty if that is no valid name of a node
 * @param address its address for messages of other nodes
 */
record RegisteredNode(Optional<HostName> name, InetSocketAddress address) {}
