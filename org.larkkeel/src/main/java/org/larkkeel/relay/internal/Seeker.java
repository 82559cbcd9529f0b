/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.Set;
import org.larkkeel.lib.UpstreamLife;
import org.larkkeel.relay.ServiceName;

/**
 * One that waits for room: a call of this node, or one of another node that asks for it.
 *
 * <p>Invariant: it is in the waiting room exactly while {@link #isWaiting}. Not safe for use by
 * several threads.
 */
sealed interface Seeker permits CallState, RemoteCall {
  /** Which upstreams may run it. */
  ServiceName service();

  /** When it arrived at its node, by this node's clock. */
  long arrivedAt();

  /** Within how long of its arrival it is on time. */
  long targetNanos();

  /** Whether its caller has not been refused before. */
  boolean isFresh();

  /** Whether its caller has the beginning of a stream that is to go on. */
  boolean isBegun();

  /** Whether it can still be on time if its work begins now. */
  boolean isInTime(long at);

  /** The upstreams that are out of the question. */
  Set<UpstreamLife> without();

  /** Whether it waits for room. */
  boolean isWaiting();

  /** Notes whether it waits. */
  void setWaiting(boolean now);
}
