/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Leases on the decode slots of an upstream, or on any other countable resource.
 *
 * <p>{@link org.larkkeel.peer.slots.SlotOwner} runs on the node that owns the key, {@link
 * org.larkkeel.peer.slots.SlotHolder} on every node that uses its slots. Both are deterministic
 * state machines. A holder reports its slots and waiting requests at most once per flush, so the
 * message rate does not grow with the request rate. The same report renews the lease and allows a
 * new owner to take it over.
 */
package org.larkkeel.peer.slots;
