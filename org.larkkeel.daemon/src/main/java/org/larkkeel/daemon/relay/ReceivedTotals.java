/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.UpstreamIncarnation;

/**
 * The total load of the other nodes, as reported by the coordinator.
 *
 * <p>Invariant: the totals are those of the last complete report and of the changes that the same
 * node reported since. Not thread-safe.
 */
final class ReceivedTotals {
  private final Map<UpstreamIncarnation, Long> totals = new HashMap<>();

  /** The node that sent the last complete report of total loads; empty before the first. */
  private Optional<HostName> source = Optional.empty();

  /** What a report did to the totals. */
  enum Result {
    /** The totals are those that the sender reported. */
    APPLIED,

    /** Changes to totals that were never received from their sender; they are ignored. */
    UNKNOWN_SOURCE
  }

  /** Applies a message of kind {@code SUMS} or {@code CHANGED_SUMS}. */
  Result apply(PeerMessage message) {
    HostName sender = message.sender().node();
    if (message.kind() == PeerMessage.Kind.SUMS) {
      totals.clear();
      source = Optional.of(sender);
    } else if (!source.equals(Optional.of(sender))) {
      return Result.UNKNOWN_SOURCE;
    }
    message.loads().forEach(this::set);
    return Result.APPLIED;
  }

  private void set(UpstreamIncarnation incarnation, long units) {
    if (units == 0) {
      totals.remove(incarnation);
    } else {
      totals.put(incarnation, units);
    }
  }

  /** Returns a copy of the totals, by upstream. */
  ImmutableMap<UpstreamIncarnation, Long> totals() {
    return ImmutableMap.copyOf(totals);
  }
}
