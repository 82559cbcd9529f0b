/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Which nodes are live: a pure state machine of the SWIM family.
 *
 * <p>{@link org.larkkeel.peer.membership.Membership} takes events and returns effects. Clock,
 * sockets and randomness stay with the caller.
 */
package org.larkkeel.peer.membership;
