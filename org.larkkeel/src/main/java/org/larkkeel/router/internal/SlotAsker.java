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
 * Tells the owners of slots how many this node can use; only while it has work.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class SlotAsker {
  private static final int HEADROOM = 1;

  private final Core core;
  private final Timer timer;
  private final Map<UpstreamName, Integer> told = new HashMap<>();

  SlotAsker(Core core) {
    this.core = core;
    this.timer = new Timer(this::ask);
  }

  /** Begins to ask if slots are shared and there is work. */
  public void wake() {
    if (core.context.settings().sharedSlots() && !timer.isSet() && !core.requests.isEmpty()) {
      ask();
    }
  }

  private void ask() {
    for (UpstreamState state : core.fleet.all()) {
      int wanted = wanted(state);
      Integer before = told.get(state.name);
      if (wanted > 0 || before != null) {
        tell(state, wanted);
      }
    }
    told.keySet().removeIf(name -> core.fleet.get(name) == null);
    if (!core.requests.isEmpty()) {
      core.context.timers().set(timer, core.context.now() + core.context.settings().wantNanos());
    }
  }

  private void tell(UpstreamState state, int wanted) {
    if (wanted == 0) {
      told.remove(state.name);
    } else {
      told.put(state.name, wanted);
    }
    core.context.emit(new Effect.WantSlots(state.name, wanted));
  }

  private static int wanted(UpstreamState state) {
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
    int wanted = used + waiting;
    return wanted == 0 ? 0 : Math.min(state.slots.limit(), wanted + HEADROOM);
  }
}
