/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Leases on the decode slots of an upstream, or on anything else that is counted in units.
 *
 * <p>{@link org.larkkeel.peer.slots.SlotOwner} runs on the node that owns the key, {@link
 * org.larkkeel.peer.slots.SlotHolder} on every node that uses it. Both are deterministic state
 * machines. A holder reports what it holds and what waits, at most once a flush, so messages do not
 * grow with requests; the same report renews the lease and lets a new owner take it over.
 */
package org.larkkeel.peer.slots;
