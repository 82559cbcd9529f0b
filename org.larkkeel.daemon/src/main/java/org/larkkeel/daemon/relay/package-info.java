/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/** A node that relays opaque requests: its settings, its feed from the store, and its wiring. */
package org.larkkeel.daemon.relay;
