/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * How the nodes of larkkeel behave as one: the façade {@link org.larkkeel.peer.PeerNode} with its
 * settings and listener.
 */
package org.larkkeel.peer;
