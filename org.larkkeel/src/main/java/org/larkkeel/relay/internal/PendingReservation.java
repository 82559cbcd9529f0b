/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.Collection;
import java.util.Optional;
import org.larkkeel.lib.WorkspaceName;
import org.larkkeel.relay.CallRank;
import org.larkkeel.relay.RequestTerms;
import org.larkkeel.relay.ServiceName;

/**
 * A call of this node, or one of another node that requests a reservation from this node, while it
 * needs a reservation.
 *
 * <p>Invariant: it is in the {@link ReservationQueue} exactly while {@link #isWaiting}. Not
 * thread-safe.
 */
sealed interface PendingReservation permits CallState, RemoteReservation {
  /** Returns the service whose upstreams may run the call. */
  ServiceName service();

  /** Returns the rank of the call by the latest configuration of its node. */
  CallRank rank();

  /** Returns the workspace of the call; empty for an anonymous call or if it is unknown. */
  Optional<WorkspaceName> workspace();

  /** Returns the units that the call needs, as known when it began to wait. */
  long units();

  /** Returns the arrival time of the call at its node, by this node's clock. */
  long arrivedAt();

  /** Returns the time after the arrival within which the call meets its target, in nanoseconds. */
  long targetNanos();

  /** Returns whether the caller was not refused before. */
  boolean isFirstTry();

  /** Returns whether the caller has the beginning of a stream that is to continue. */
  boolean isStreaming();

  /** Returns whether the call can still meet its target if its work begins now. */
  boolean canMeetTarget(long at);

  /**
   * Returns whether the call may be sent to an upstream, as far as the call decides: it was not
   * refused there, and the upstream is of the build that began its stream. To be asked at each
   * choice, since the answer changes with the entries of upstreams.
   */
  boolean accepts(UpstreamState upstream);

  /** Returns whether the call may be sent to each of some upstreams. */
  default boolean acceptsAll(Collection<UpstreamState> upstreams) {
    return upstreams.stream().allMatch(this::accepts);
  }

  /** Returns whether the call waits for a reservation. */
  boolean isWaiting();

  /** Sets whether the call waits for a reservation. */
  void setWaiting(boolean waiting);

  /** Returns the caller's id of the call. */
  String wireId();

  /**
   * Returns what is known of the caller; empty if the call may have run or its node does not say,
   * so that it must not be rejected on a forecast.
   */
  Optional<RequestTerms> terms();
}
