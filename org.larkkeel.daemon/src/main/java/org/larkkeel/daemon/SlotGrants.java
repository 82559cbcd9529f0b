/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.larkkeel.effect.Effect;
import org.larkkeel.effect.EffectSink;
import org.larkkeel.event.Event;
import org.larkkeel.event.LoadReport;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.peer.SlotLease;

/**
 * Holds the slot leases that the router requests, obtained from the nodes that own the upstreams.
 *
 * <p>Invariant: a grant to the router never exceeds the number of leases held. A grant expires soon
 * after the router's last request, so that a router falls back to its equal share of the slots if
 * the owner is unresponsive. Safe for use by several threads.
 *
 * @since 0.1
 */
final class SlotGrants implements EffectSink {
  private static final Duration ACQUIRE_TIMEOUT = Duration.ofSeconds(1);
  private static final long GRANT_VALIDITY_NANOS = Duration.ofSeconds(2).toNanos();
  private static final int PRIORITY = 0;

  /** Acquires slot leases from the owners of upstreams. */
  interface LeaseClient {
    /** Acquires one slot; the future fails if no slot becomes free before the timeout. */
    CompletableFuture<SlotLease> acquire(String key, int priority, Duration timeout);

    /** Releases a slot. */
    void release(SlotLease lease);

    /** Updates the slots and running requests of an upstream, if this node is its owner. */
    void updateCapacity(String key, int slots, int running);
  }

  private static final class UpstreamLeases {
    private final Deque<SlotLease> leases = new ArrayDeque<>();
    private int wanted;
    private int pending;
  }

  private final LeaseClient leaseClient;
  private final Consumer<Event> events;
  private final LongSupplier clock;
  private final Map<UpstreamName, UpstreamLeases> leasesByUpstream = new HashMap<>();

  SlotGrants(LeaseClient leaseClient, Consumer<Event> events, LongSupplier clock) {
    this.leaseClient = leaseClient;
    this.events = events;
    this.clock = clock;
  }

  @Override
  public void accept(Effect effect) {
    if (effect instanceof Effect.WantSlots want) {
      setWanted(want.upstream(), want.wanted());
    }
  }

  /** Updates the capacity of an upstream from its load report, if this node is its owner. */
  void updateCapacity(UpstreamName upstream, LoadReport report) {
    leaseClient.updateCapacity(
        upstream.value(), report.slots(), report.running() + report.waiting());
  }

  private synchronized void setWanted(UpstreamName upstream, int wanted) {
    UpstreamLeases held = leasesByUpstream.computeIfAbsent(upstream, name -> new UpstreamLeases());
    held.wanted = wanted;
    while (held.leases.size() > wanted) {
      leaseClient.release(held.leases.removeLast());
    }
    int missing = wanted - held.leases.size() - held.pending;
    for (int i = 0; i < missing; i++) {
      requestLease(upstream, held);
    }
    if (!held.leases.isEmpty()) {
      publishGrant(upstream, held);
    } else if (wanted == 0 && held.pending == 0) {
      leasesByUpstream.remove(upstream);
    }
  }

  private void requestLease(UpstreamName upstream, UpstreamLeases held) {
    held.pending++;
    var unused =
        leaseClient
            .acquire(upstream.value(), PRIORITY, ACQUIRE_TIMEOUT)
            .whenComplete((lease, failure) -> onLeaseAnswer(upstream, held, lease));
  }

  private synchronized void onLeaseAnswer(
      UpstreamName upstream, UpstreamLeases held, SlotLease lease) {
    held.pending--;
    if (lease == null) {
      return;
    }
    if (held.leases.size() >= held.wanted) {
      leaseClient.release(lease);
      return;
    }
    held.leases.addLast(lease);
    publishGrant(upstream, held);
  }

  private void publishGrant(UpstreamName upstream, UpstreamLeases held) {
    long now = clock.getAsLong();
    events.accept(
        new Event.SlotsGranted(now, upstream, held.leases.size(), now + GRANT_VALIDITY_NANOS));
  }
}
