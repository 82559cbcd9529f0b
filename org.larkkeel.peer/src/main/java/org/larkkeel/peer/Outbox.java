/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer;

import java.util.HashMap;
import java.util.Map;
import org.larkkeel.lib.HostName;
import org.larkkeel.peer.membership.NodeId;
import org.larkkeel.peer.transport.LeaseBatch;

/**
 * The batches that wait to be sent, by peer.
 *
 * <p>Invariant: at most one batch is in flight to a peer; messages added in the meantime are
 * collected in the next batch. Times are nanoseconds. Not safe for use by several threads.
 */
final class Outbox {
  private final NodeId self;
  private final long retryDelayNanos;
  private final Map<HostName, Entry> entries = new HashMap<>();

  Outbox(NodeId self, long retryDelayNanos) {
    this.self = self;
    this.retryDelayNanos = retryDelayNanos;
  }

  private static final class Entry {
    private LeaseBatch pending;
    private boolean inFlight;
    private long notBefore = Long.MIN_VALUE;
  }

  private Entry entry(HostName peer) {
    return entries.computeIfAbsent(peer, host -> new Entry());
  }

  boolean isReady(HostName peer, long now) {
    Entry entry = entries.get(peer);
    return entry == null || (!entry.inFlight && entry.notBefore <= now);
  }

  LeaseBatch pending(HostName peer) {
    Entry entry = entry(peer);
    if (entry.pending == null) {
      entry.pending = LeaseBatch.empty(self);
    }
    return entry.pending;
  }

  /** Removes and returns the batches that can be sent now; each counts as in flight from now on. */
  Map<HostName, LeaseBatch> takeReady(long now) {
    Map<HostName, LeaseBatch> batches = new HashMap<>();
    entries.forEach(
        (peer, entry) -> {
          if (entry.pending != null && isReady(peer, now)) {
            batches.put(peer, entry.pending);
            entry.pending = null;
            entry.inFlight = true;
          }
        });
    return batches;
  }

  boolean hasPending() {
    for (Entry entry : entries.values()) {
      if (entry.pending != null) {
        return true;
      }
    }
    return false;
  }

  void onDelivered(HostName peer) {
    entry(peer).inFlight = false;
  }

  void onFailure(HostName peer, long now) {
    Entry entry = entry(peer);
    entry.inFlight = false;
    entry.notBefore = now + retryDelayNanos;
  }

  void remove(HostName peer) {
    entries.remove(peer);
  }
}
