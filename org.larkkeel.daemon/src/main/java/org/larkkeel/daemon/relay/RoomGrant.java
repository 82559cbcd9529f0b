/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import java.util.Optional;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.UpstreamLife;

/**
 * Room for a call of the node that is told.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param call its id on that node
 * @param home runs it
 * @param reader reads its prompt; empty if the home does
 */
record RoomGrant(RequestId call, UpstreamLife home, Optional<UpstreamLife> reader) {}
