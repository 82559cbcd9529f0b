/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.larkkeel.relay.ServiceName;

/**
 * Calls that wait for room at an upstream.
 *
 * <p>Those that can still be on time go first, among them those that were not refused before; then
 * the others; the oldest in front. Not safe for use by several threads.
 */
final class WaitingRoom {
  private final Set<CallState> waiting = new LinkedHashSet<>();

  void add(CallState c) {
    c.waiting = true;
    waiting.add(c);
  }

  void remove(CallState c) {
    c.waiting = false;
    waiting.remove(c);
  }

  /** Whether a call to a service waits. */
  boolean has(ServiceName service) {
    return waiting.stream().anyMatch(c -> c.service.equals(service));
  }

  int size() {
    return waiting.size();
  }

  /** All calls, in the order in which they are to be placed. */
  List<CallState> inOrder(long at) {
    List<CallState> order = new ArrayList<>(waiting);
    order.sort(
        Comparator.comparing((CallState c) -> !c.isInTime(at))
            .thenComparing(c -> !c.isFresh())
            .thenComparingLong(c -> c.arrivedAt));
    return order;
  }
}
