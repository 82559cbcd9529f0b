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
 * Holds slot leases of other nodes' upstreams for the router, as many as it wants.
 *
 * <p>Invariant: the grant told to the router is never above the number of leases held. A grant ends
 * by itself soon after the router's last want, so that a router whose owner is silent falls back to
 * its equal share. Safe for use by several threads.
 *
 * @since 0.1
 */
final class SlotGrants implements EffectSink {
  private static final Duration PATIENCE = Duration.ofSeconds(1);
  private static final long VALID_NANOS = Duration.ofSeconds(2).toNanos();
  private static final int PRIORITY = 0;

  /** Leases slots from their owners. */
  interface Leases {
    /** Asks for one slot; fails if none came free in time. */
    CompletableFuture<SlotLease> acquire(String key, int priority, Duration patience);

    /** Gives a slot back. */
    void release(SlotLease lease);

    /** Tells the owner, if this node is the owner, what the upstream has. */
    void updateCapacity(String key, int slots, int running);
  }

  private static final class Holding {
    private final Deque<SlotLease> leases = new ArrayDeque<>();
    private int wanted;
    private int asked;
  }

  private final Leases leases;
  private final Consumer<Event> events;
  private final LongSupplier clock;
  private final Map<UpstreamName, Holding> holdings = new HashMap<>();

  SlotGrants(Leases leases, Consumer<Event> events, LongSupplier clock) {
    this.leases = leases;
    this.events = events;
    this.clock = clock;
  }

  @Override
  public void accept(Effect effect) {
    if (effect instanceof Effect.WantSlots want) {
      wanted(want.upstream(), want.wanted());
    }
  }

  /** Passes an upstream's report on to the owner of its slots. */
  void reported(UpstreamName upstream, LoadReport report) {
    leases.updateCapacity(upstream.value(), report.slots(), report.running() + report.waiting());
  }

  private synchronized void wanted(UpstreamName upstream, int wanted) {
    Holding holding = holdings.computeIfAbsent(upstream, name -> new Holding());
    holding.wanted = wanted;
    while (holding.leases.size() > wanted) {
      leases.release(holding.leases.removeLast());
    }
    int missing = wanted - holding.leases.size() - holding.asked;
    for (int i = 0; i < missing; i++) {
      ask(upstream, holding);
    }
    if (!holding.leases.isEmpty()) {
      tell(upstream, holding);
    } else if (wanted == 0 && holding.asked == 0) {
      holdings.remove(upstream);
    }
  }

  private void ask(UpstreamName upstream, Holding holding) {
    holding.asked++;
    var unused =
        leases
            .acquire(upstream.value(), PRIORITY, PATIENCE)
            .whenComplete((lease, failure) -> answered(upstream, holding, lease));
  }

  private synchronized void answered(UpstreamName upstream, Holding holding, SlotLease lease) {
    holding.asked--;
    if (lease == null) {
      return;
    }
    if (holding.leases.size() >= holding.wanted) {
      leases.release(lease);
      return;
    }
    holding.leases.addLast(lease);
    tell(upstream, holding);
  }

  private void tell(UpstreamName upstream, Holding holding) {
    long now = clock.getAsLong();
    events.accept(new Event.SlotsGranted(now, upstream, holding.leases.size(), now + VALID_NANOS));
  }
}
