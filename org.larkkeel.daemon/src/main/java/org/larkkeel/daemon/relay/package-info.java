/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/** A relay node: its settings, its synchronization with the store, and the wiring of its parts. */
package org.larkkeel.daemon.relay;
