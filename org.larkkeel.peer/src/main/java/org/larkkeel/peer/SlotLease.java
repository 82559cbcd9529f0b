/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer;

/**
 * One slot in use by a request of this node, to be released with {@link PeerNode#releaseSlot}.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param key the name of the leased resource, such as an upstream
 * @param id identifies the request at this node
 * @since 0.1
 */
public record SlotLease(String key, long id) {}
