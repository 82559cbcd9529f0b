/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

import java.util.HashMap;
import java.util.Map;
import org.larkkeel.config.Role;
import org.larkkeel.effect.Effect;
import org.larkkeel.lib.UpstreamName;

/**
 * Reports to the owners of slots how many slots this node can use, while it has requests.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class SlotDemandReporter {
  private static final int HEADROOM_SLOTS = 1;

  private final Core core;
  private final Timer timer;
  private final Map<UpstreamName, Integer> reported = new HashMap<>();

  SlotDemandReporter(Core core) {
    this.core = core;
    this.timer = new Timer(this::reportAll);
  }

  /** Starts the periodic reports if slots are shared and there are requests. */
  public void start() {
    if (core.context.settings().sharedSlots() && !timer.isSet() && !core.requests.isEmpty()) {
      reportAll();
    }
  }

  private void reportAll() {
    for (UpstreamState state : core.upstreams.all()) {
      int needed = neededSlots(state);
      Integer previous = reported.get(state.name);
      if (needed > 0 || previous != null) {
        report(state, needed);
      }
    }
    reported.keySet().removeIf(name -> core.upstreams.get(name) == null);
    if (!core.requests.isEmpty()) {
      core.context.timers().set(timer, core.context.now() + core.context.settings().wantNanos());
    }
  }

  private void report(UpstreamState state, int needed) {
    if (needed == 0) {
      reported.remove(state.name);
    } else {
      reported.put(state.name, needed);
    }
    core.context.emit(new Effect.WantSlots(state.name, needed));
  }

  private static int neededSlots(UpstreamState state) {
    int waiting = 0;
    boolean takesSlots = false;
    for (Membership member : state.memberships) {
      takesSlots |= member.set.role() != Role.PREFILL;
      for (Route route : member.set.routes()) {
        waiting += route.queued() + route.held.size();
      }
    }
    if (!takesSlots) {
      return 0;
    }
    int used = state.slots.active() + state.slots.reserved();
    int needed = used + waiting;
    return needed == 0 ? 0 : Math.min(state.slots.limit(), needed + HEADROOM_SLOTS);
  }
}
