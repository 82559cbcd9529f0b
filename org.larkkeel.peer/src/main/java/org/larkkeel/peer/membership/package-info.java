/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Cluster membership and failure detection: a pure state machine of the SWIM family.
 *
 * <p>{@link org.larkkeel.peer.membership.Membership} handles events and returns effects. The caller
 * supplies the clock, the sockets and the random seed.
 */
package org.larkkeel.peer.membership;
