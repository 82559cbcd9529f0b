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
import org.larkkeel.peer.transport.Leases;

/**
 * What waits to be sent to each peer. At most one batch is on its way to a peer; the next one
 * gathers all that is said in the meantime. Not safe for use by several threads.
 */
final class Outbox {
  private final NodeId self;
  private final long failurePause;
  private final Map<HostName, Entry> entries = new HashMap<>();

  Outbox(NodeId self, long failurePause) {
    this.self = self;
    this.failurePause = failurePause;
  }

  private static final class Entry {
    private Leases pending;
    private boolean onItsWay;
    private long notBefore = Long.MIN_VALUE;
  }

  private Entry entry(HostName peer) {
    return entries.computeIfAbsent(peer, host -> new Entry());
  }

  boolean isReady(HostName peer, long now) {
    Entry entry = entries.get(peer);
    return entry == null || (!entry.onItsWay && entry.notBefore <= now);
  }

  Leases pending(HostName peer) {
    Entry entry = entry(peer);
    if (entry.pending == null) {
      entry.pending = Leases.of(self);
    }
    return entry.pending;
  }

  /** Takes the batches that can be sent now; each counts as on its way. */
  Map<HostName, Leases> take(long now) {
    Map<HostName, Leases> batches = new HashMap<>();
    entries.forEach(
        (peer, entry) -> {
          if (entry.pending != null && isReady(peer, now)) {
            batches.put(peer, entry.pending);
            entry.pending = null;
            entry.onItsWay = true;
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

  void delivered(HostName peer) {
    entry(peer).onItsWay = false;
  }

  void failed(HostName peer, long now) {
    Entry entry = entry(peer);
    entry.onItsWay = false;
    entry.notBefore = now + failurePause;
  }

  void forget(HostName peer) {
    entries.remove(peer);
  }
}
