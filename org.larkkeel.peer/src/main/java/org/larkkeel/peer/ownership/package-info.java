/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/** Selects the live host that owns a key, by rendezvous hashing. */
package org.larkkeel.peer.ownership;
