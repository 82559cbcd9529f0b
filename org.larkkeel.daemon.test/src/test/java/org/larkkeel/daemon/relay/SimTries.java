/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.larkkeel.lib.RequestId;

/** The calls that arrived at a node and whether they were served. */
final class SimTries {
  private final Map<RequestId, Long> arrivals = new HashMap<>();
  private final Set<RequestId> served = new HashSet<>();

  void arrived(RequestId call, long atNanos) {
    arrivals.put(call, atNanos);
  }

  void markServed(RequestId call) {
    served.add(call);
  }

  /** Returns the number of calls that arrived in a span of time. */
  int count(long fromNanos, long untilNanos) {
    return (int) arrivals.values().stream().filter(t -> t >= fromNanos && t < untilNanos).count();
  }

  /** Returns how many of the calls that arrived in a span of time were served. */
  int served(long fromNanos, long untilNanos) {
    return (int)
        served.stream().map(arrivals::get).filter(t -> t >= fromNanos && t < untilNanos).count();
  }
}
