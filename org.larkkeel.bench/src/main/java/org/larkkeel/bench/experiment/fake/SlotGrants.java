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
 * Divides the slots of each upstream among the nodes by their requests.
 *
 * <p>Invariant: the grants in force for one upstream never add up to more than its slots; a grant
 * grows only by free slots, and shrinks by at most one slot per request. Not safe for use by
 * several threads.
 *
 * @since 0.1
 */
final class SlotGrants {
  private static final long MESSAGE_DELAY_NANOS = 20 * Scenario.NANOS_PER_MILLI;
  private static final long GRANT_VALIDITY_NANOS = 5 * Scenario.NANOS_PER_SECOND;

  /** Delivers an event to a node. */
  interface Sender {
    void send(int node, Event event);
  }

  /** Returns the number of slots of an upstream that a node holds. */
  interface HeldSlots {
    int count(int node, UpstreamName upstream);
  }

  private final Timeline time;
  private final int nodes;
  private final ToIntFunction<UpstreamName> slots;
  private final HeldSlots heldSlots;
  private final Sender sender;
  private final Map<UpstreamName, int[]> requested = new HashMap<>();
  private final Map<UpstreamName, int[]> granted = new HashMap<>();

  SlotGrants(
      Timeline time,
      int nodes,
      ToIntFunction<UpstreamName> slots,
      HeldSlots heldSlots,
      Sender sender) {
    this.time = time;
    this.nodes = nodes;
    this.slots = slots;
    this.heldSlots = heldSlots;
    this.sender = sender;
  }

  void request(int node, UpstreamName upstream, int count) {
    if (nodes == 1) {
      return;
    }
    time.after(MESSAGE_DELAY_NANOS, () -> decide(node, upstream, count));
  }

  private void decide(int node, UpstreamName upstream, int count) {
    int[] requests = requested.computeIfAbsent(upstream, u -> new int[nodes]);
    int[] grants = granted.computeIfAbsent(upstream, u -> new int[nodes]);
    requests[node] = count;
    int totalSlots = slots.applyAsInt(upstream);
    int free = totalSlots;
    int totalRequested = 0;
    for (int i = 0; i < nodes; i++) {
      free -= i == node ? 0 : grants[i];
      totalRequested += requests[i];
    }
    int fairShare =
        totalRequested <= totalSlots ? count : Math.max(1, count * totalSlots / totalRequested);
    // A node returns slots one by one as they become free, never those in use.
    int retained = Math.max(heldSlots.count(node, upstream), Math.min(count, grants[node] - 1));
    grants[node] = Math.max(0, Math.min(Math.max(fairShare, retained), free));
    int grantedNow = grants[node];
    time.after(
        MESSAGE_DELAY_NANOS,
        () ->
            sender.send(
                node,
                new Event.SlotsGranted(
                    time.now(), upstream, grantedNow, time.now() + GRANT_VALIDITY_NANOS)));
  }
}
