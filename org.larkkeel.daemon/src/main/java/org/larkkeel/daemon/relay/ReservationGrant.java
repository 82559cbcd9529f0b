/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import java.util.Optional;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.UpstreamIncarnation;

/**
 * A granted reservation for a call of the node that receives it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param call the id of the call on the receiving node
 * @param reservedUpstream the upstream where memory is reserved and the call will run
 * @param prefillUpstream the upstream that prefills the prompt; empty if the reserved upstream does
 *     so itself
 */
record ReservationGrant(
    RequestId call,
    UpstreamIncarnation reservedUpstream,
    Optional<UpstreamIncarnation> prefillUpstream) {}
