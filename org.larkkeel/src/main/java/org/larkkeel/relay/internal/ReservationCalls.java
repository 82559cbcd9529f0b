/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.Optional;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.relay.RelayConfiguration;
import org.larkkeel.relay.RelayEffect;

/** The access of {@link MemoryReservations} to the calls. */
interface ReservationCalls {
  /** Returns the configuration in force; null if there is none. */
  RelayConfiguration configuration();

  /** Returns the number of nodes. */
  int nodes();

  /** Returns whether the node is draining. */
  boolean isDraining();

  /** Returns whether a call may be sent to an upstream. */
  boolean isUsable(long at, CallState c, UpstreamState s);

  /**
   * Starts the work on a call that has a reservation.
   *
   * @param at now
   * @param c the call
   * @param prefillUpstream the upstream that prefills the prompt; empty if the reserved one does
   */
  void start(long at, CallState c, Optional<Choice> prefillUpstream);

  /**
   * Sends a call that cannot wait any longer to the upstream with the lowest cost, regardless of
   * memory; only in services that are not contended.
   */
  void force(long at, CallState c);

  /** Fails a call. */
  void fail(long at, CallState c, ErrorKind kind, String detail);

  /** Refuses a call with a Retry-After in milliseconds. */
  void refuseWithRetryAfter(long at, CallState c, long retryAfterMillis, String detail);

  /** Emits an effect. */
  void emit(RelayEffect effect);
}
