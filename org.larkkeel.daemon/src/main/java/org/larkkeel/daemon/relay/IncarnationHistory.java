/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.relay.RelayUpstream;

/**
 * Remembers observed states of upstream incarnations, against which the entries of a restored store
 * are checked: the backup may list an incarnation that has ended, or one that is leaving as if it
 * were not.
 *
 * <p>Invariant: an incarnation that was leaving before the store was restored stays leaving until
 * it has ended. Not thread-safe.
 */
final class IncarnationHistory {
  /**
   * The time for which ended incarnations are remembered; it exceeds the age of any backup from
   * which a store is restored.
   */
  private static final long RETENTION_NANOS = 60_000_000_000L;

  private final Map<UpstreamIncarnation, Long> ended = new HashMap<>();
  private final Set<UpstreamIncarnation> leaving = new HashSet<>();

  /**
   * Records that the store was restored from a backup.
   *
   * @param known the upstreams that were known until then
   */
  void restored(Collection<RelayUpstream> known) {
    known.stream()
        .filter(RelayUpstream::leaving)
        .map(RelayUpstream::incarnation)
        .forEach(leaving::add);
  }

  /**
   * Records that an entry was removed.
   *
   * @param removed the upstream of the entry; null if the entry was unreadable or unknown
   */
  void ended(long nowNanos, RelayUpstream removed) {
    if (removed != null) {
      dropExpired(nowNanos);
      ended.put(removed.incarnation(), nowNanos);
      leaving.remove(removed.incarnation());
    }
  }

  private void dropExpired(long nowNanos) {
    ended.values().removeIf(since -> nowNanos - since > RETENTION_NANOS);
  }

  /**
   * Records that an entry names a new state or incarnation of an upstream.
   *
   * @param previous the previous upstream of the entry; null if there was none
   */
  void replaced(long nowNanos, RelayUpstream previous, RelayUpstream current) {
    if (previous != null && !previous.incarnation().equals(current.incarnation())) {
      ended(nowNanos, previous);
    }
    ended.remove(current.incarnation());
  }

  /** Returns whether an incarnation was observed to end. */
  boolean isEnded(long nowNanos, UpstreamIncarnation incarnation) {
    Long endedNanos = ended.get(incarnation);
    return endedNanos != null && nowNanos - endedNanos <= RETENTION_NANOS;
  }

  /**
   * Returns a listed upstream, marked as leaving if it was leaving before the store was restored.
   */
  RelayUpstream withObservedState(RelayUpstream listed) {
    return leaving.contains(listed.incarnation()) ? listed.withLeaving() : listed;
  }
}
