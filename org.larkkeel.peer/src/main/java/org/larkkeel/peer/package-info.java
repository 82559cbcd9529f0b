/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Communication between the nodes of a cluster: the facade {@link org.larkkeel.peer.PeerNode} with
 * its settings and listener.
 */
package org.larkkeel.peer;
