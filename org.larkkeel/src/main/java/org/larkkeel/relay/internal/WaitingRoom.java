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
 * Calls that wait for room at an upstream, of this node and of those that ask it.
 *
 * <p>Streams that callers have the beginning of go first, as a loss of theirs loses all that was
 * done for them; then calls that can still be on time, among them those that were not refused
 * before; then the others; the oldest in front. Not safe for use by several threads.
 */
final class WaitingRoom {
  private final Set<Seeker> waiting = new LinkedHashSet<>();

  void add(Seeker s) {
    s.setWaiting(true);
    waiting.add(s);
  }

  void remove(Seeker s) {
    s.setWaiting(false);
    waiting.remove(s);
  }

  /** Whether a call to a service waits. */
  boolean has(ServiceName service) {
    return waiting.stream().anyMatch(s -> s.service().equals(service));
  }

  int size() {
    return waiting.size();
  }

  /** All calls, in the order in which they are to be placed. */
  List<Seeker> inOrder(long at) {
    List<Seeker> order = new ArrayList<>(waiting);
    order.sort(
        Comparator.comparing((Seeker s) -> !s.isBegun())
            .thenComparing(s -> !s.isInTime(at))
            .thenComparing(s -> !s.isFresh())
            .thenComparingLong(Seeker::arrivedAt));
    return order;
  }

  /** The calls of this node, the oldest in front. */
  List<CallState> own() {
    return waiting.stream().filter(CallState.class::isInstance).map(CallState.class::cast).toList();
  }
}
