/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import org.larkkeel.relay.ReservationMode;
import org.larkkeel.relay.ServiceName;

/**
 * Decides whether this node may reserve memory of a service now, so that two nodes do not reserve
 * the same memory.
 *
 * <p>In contended services, a node that asks a coordinator reserves nothing by itself, and a node
 * that has just taken over from a coordinator first receives the loads of calls that got their
 * reservation from the previous one. Other services have no such limit. Not thread-safe.
 */
final class ReservationAuthority {
  /**
   * The time for which a new coordinator reserves nothing: nodes repeat their reports every 30 ms,
   * so that one report of each node arrives even if another is lost.
   */
  static final long SETTLING_NANOS = 60_000_000L;

  private final ContendedServices contended;
  private final Timers timers;
  private ReservationMode mode = ReservationMode.EACH;
  private long settledAt = Long.MIN_VALUE;

  ReservationAuthority(ContendedServices contended, Timers timers) {
    this.contended = contended;
    this.timers = timers;
  }

  /** Handles a change of the reservation mode. */
  void modeChanged(long at, ReservationMode newMode) {
    if (mode == ReservationMode.ASK && newMode == ReservationMode.KEEP) {
      settledAt = at + SETTLING_NANOS;
      timers.add(new Timers.Timer.PlacementRetry(settledAt));
    }
    mode = newMode;
  }

  /** Returns whether this node may reserve memory of a service now. */
  boolean mayReserve(long at, ServiceName service) {
    return !contended.isContended(service) || (mode != ReservationMode.ASK && at >= settledAt);
  }
}
