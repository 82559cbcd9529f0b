/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/** Which live node owns a key, by rendezvous hashing. */
package org.larkkeel.peer.ownership;
