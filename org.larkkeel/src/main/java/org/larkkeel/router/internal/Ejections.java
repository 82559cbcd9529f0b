/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

import org.larkkeel.effect.Fact;
import org.larkkeel.event.FailureCause;

/**
 * Takes upstreams that fail out of use for a time, and back.
 *
 * <p>Invariant: an ejected upstream has a timer set. Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class Ejections {
  private static final long DISTURBANCE_NANOS = 3_000_000_000L;

  private final Context context;
  private final Fleet fleet;
  private long lastEjection = Long.MIN_VALUE / 2;

  /**
   * Creates ejections of nobody.
   *
   * @param context what the parts of the router share
   * @param fleet the upstreams
   */
  Ejections(Context context, Fleet fleet) {
    this.context = context;
    this.fleet = fleet;
  }

  /**
   * Counts a success of an upstream.
   *
   * @param state the upstream
   */
  public void succeeded(UpstreamState state) {
    if (state.health.succeeded()) {
      context.timers().clear(state.probeTimer);
      context.report(new Fact.Restored(state.name));
      fleet.gained(state);
    }
  }

  /**
   * Counts a failure of an upstream.
   *
   * @param state the upstream
   * @param cause why it failed
   */
  public void failed(UpstreamState state, FailureCause cause) {
    boolean counts = context.settings().ejection();
    switch (cause) {
      case NO_SLOT, BUSY -> state.slots.refused(context.now());
      case DRAINING -> eject(state, counts ? state.health.eject() : 0);
      case CONNECT_FAILED, CONNECTION_LOST, TIMED_OUT, BAD_ANSWER ->
          eject(state, counts ? state.health.failed() : 0);
      default -> {}
    }
    fleet.lost(state);
  }

  /**
   * An upstream that was silent or has started anew reports its load, so it is back.
   *
   * @param state the upstream
   */
  public void back(UpstreamState state) {
    if (state.health.restore()) {
      context.timers().clear(state.probeTimer);
      context.report(new Fact.Restored(state.name));
      fleet.gained(state);
    }
  }

  /**
   * Counts a load report that did not come.
   *
   * @param state the upstream
   */
  public void silent(UpstreamState state) {
    boolean silent = state.unanswered() >= context.settings().ejectAfter();
    if (silent && context.settings().ejection() && !state.health.isOut()) {
      eject(state, state.health.eject());
      fleet.lost(state);
    }
  }

  /**
   * Tells whether an upstream was lost so lately that its requests still press on the others.
   *
   * @return true if so
   */
  public boolean isDisturbed() {
    return context.now() - lastEjection < DISTURBANCE_NANOS;
  }

  private void eject(UpstreamState state, long nanos) {
    if (nanos <= 0) {
      return;
    }
    lastEjection = context.now();
    context.timers().set(state.probeTimer, context.now() + nanos);
    context.report(new Fact.Ejected(state.name, nanos));
  }

  void probe(UpstreamState state) {
    if (state.isSilent()) {
      eject(state, state.health.eject());
      return;
    }
    state.health.probe();
    fleet.gained(state);
  }
}
