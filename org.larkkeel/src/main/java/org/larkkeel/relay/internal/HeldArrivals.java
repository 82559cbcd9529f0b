/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.larkkeel.lib.RequestId;
import org.larkkeel.relay.RelayCall;

/**
 * The calls that arrived while the state of the store was in doubt, and wait a moment for its
 * confirmation, as they would wait for memory: refused, they would come back to nodes that are as
 * busy, and later.
 *
 * <p>Invariants: no call is admitted from here before the state is trusted again; each waits for
 * {@link #MAX_HOLD_NANOS} at most; at most {@link #MAX_HELD} wait. Not thread-safe.
 */
final class HeldArrivals {
  /** The maximum wait; answers of the store to a busy node take some turns of its loop. */
  static final long MAX_HOLD_NANOS = 500_000_000L;

  static final int MAX_HELD = 256;

  private final Timers timers;
  private final Map<RequestId, Arrival> held = new LinkedHashMap<>();
  private boolean closed;

  /** A call and the time of its arrival. */
  record Arrival(long at, RelayCall call) {}

  HeldArrivals(Timers timers) {
    this.timers = timers;
  }

  /** Holds a call; returns whether there is room for it. */
  boolean hold(long at, RelayCall call) {
    if (closed || held.size() >= MAX_HELD) {
      return false;
    }
    held.put(call.id(), new Arrival(at, call));
    timers.add(new Timers.Timer.HoldTimeout(at + MAX_HOLD_NANOS, call.id()));
    return true;
  }

  /** Removes and returns a call if it is held; else null. */
  RelayCall remove(RequestId id) {
    Arrival arrival = held.remove(id);
    return arrival == null ? null : arrival.call();
  }

  /** Removes and returns all calls, in the order of their arrivals. */
  List<Arrival> removeAll() {
    List<Arrival> all = new ArrayList<>(held.values());
    held.clear();
    return all;
  }

  /** Holds no further calls, as the node drains. */
  void close() {
    closed = true;
  }

  int size() {
    return held.size();
  }
}
