/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Routing of opaque requests by host and path: the reducer, its events and its effects.
 *
 * <p>Nothing here reads a clock, opens a socket or starts a thread; events carry the times, in
 * nanoseconds of a steady clock.
 */
package org.larkkeel.relay;
