/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.fake;

import java.util.HashMap;
import java.util.Map;
import java.util.function.ToIntFunction;
import org.larkkeel.bench.experiment.scenario.Scenario;
import org.larkkeel.event.Event;
import org.larkkeel.lib.UpstreamName;

/**
 * Shares the slots of each upstream among the nodes by what they want.
 *
 * <p>Invariant: the grants in force for one upstream never add up to more than its slots; a grant
 * grows only by what is free, and shrinks by one slot an ask. Not safe for use by several threads.
 *
 * @since 0.1
 */
final class SlotGrants {
  private static final long DELAY = 20 * Scenario.MILLI;
  private static final long VALID = 5 * Scenario.SECOND;

  /** Delivers an event to a node. */
  interface Sender {
    void send(int node, Event event);
  }

  /** Tells how many slots of an upstream a node holds. */
  interface HeldBy {
    int count(int node, UpstreamName upstream);
  }

  private final Timeline time;
  private final int nodes;
  private final ToIntFunction<UpstreamName> slots;
  private final HeldBy heldBy;
  private final Sender sender;
  private final Map<UpstreamName, int[]> wanted = new HashMap<>();
  private final Map<UpstreamName, int[]> granted = new HashMap<>();

  SlotGrants(
      Timeline time, int nodes, ToIntFunction<UpstreamName> slots, HeldBy heldBy, Sender sender) {
    this.time = time;
    this.nodes = nodes;
    this.slots = slots;
    this.heldBy = heldBy;
    this.sender = sender;
  }

  void want(int node, UpstreamName upstream, int count) {
    if (nodes == 1) {
      return;
    }
    time.after(DELAY, () -> decide(node, upstream, count));
  }

  private void decide(int node, UpstreamName upstream, int count) {
    int[] want = wanted.computeIfAbsent(upstream, u -> new int[nodes]);
    int[] grant = granted.computeIfAbsent(upstream, u -> new int[nodes]);
    want[node] = count;
    int all = slots.applyAsInt(upstream);
    int free = all;
    int asked = 0;
    for (int i = 0; i < nodes; i++) {
      free -= i == node ? 0 : grant[i];
      asked += want[i];
    }
    int fair = asked <= all ? count : Math.max(1, count * all / asked);
    // A node gives slots back one by one as they become free, never those in use.
    int kept = Math.max(heldBy.count(node, upstream), Math.min(count, grant[node] - 1));
    grant[node] = Math.max(0, Math.min(Math.max(fair, kept), free));
    int now = grant[node];
    time.after(
        DELAY,
        () ->
            sender.send(
                node, new Event.SlotsGranted(time.now(), upstream, now, time.now() + VALID)));
  }
}
