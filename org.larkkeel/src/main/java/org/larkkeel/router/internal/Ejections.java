/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

import org.larkkeel.effect.Fact;
import org.larkkeel.event.FailureCause;

/**
 * Ejects failing upstreams for a time and restores them.
 *
 * <p>Invariant: the probe timer of an ejected upstream is set. Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class Ejections {
  private static final long RECENT_EJECTION_NANOS = 3_000_000_000L;

  private final Context context;
  private final UpstreamTable upstreams;
  private long lastEjection = Long.MIN_VALUE / 2;

  /**
   * Creates an object without ejections.
   *
   * @param context the shared state of the router
   * @param upstreams the upstreams
   */
  Ejections(Context context, UpstreamTable upstreams) {
    this.context = context;
    this.upstreams = upstreams;
  }

  /**
   * Counts a success of an upstream.
   *
   * @param state the upstream
   */
  public void recordSuccess(UpstreamState state) {
    if (state.health.recordSuccess()) {
      context.timers().clear(state.probeTimer);
      context.report(new Fact.Restored(state.name));
      upstreams.capacityFreed(state);
    }
  }

  /**
   * Counts a failure of an upstream.
   *
   * @param state the upstream
   * @param cause the cause of the failure
   */
  public void recordFailure(UpstreamState state, FailureCause cause) {
    boolean ejects = context.settings().ejection();
    switch (cause) {
      case NO_SLOT, BUSY -> state.slots.recordRefusal(context.now());
      case DRAINING -> eject(state, ejects ? state.health.eject() : 0);
      case CONNECT_FAILED, CONNECTION_LOST, TIMED_OUT, BAD_ANSWER ->
          eject(state, ejects ? state.health.recordFailure() : 0);
      default -> {}
    }
    upstreams.capacityTaken(state);
  }

  /**
   * Restores an upstream that reports its load after failed queries or after a restart.
   *
   * @param state the upstream
   */
  public void restore(UpstreamState state) {
    if (state.health.restore()) {
      context.timers().clear(state.probeTimer);
      context.report(new Fact.Restored(state.name));
      upstreams.capacityFreed(state);
    }
  }

  /**
   * Counts a failed query of the load of an upstream.
   *
   * @param state the upstream
   */
  public void queryFailed(UpstreamState state) {
    boolean unresponsive = state.countFailedQuery() >= context.settings().ejectAfter();
    if (unresponsive && context.settings().ejection() && !state.health.isEjectedOrProbing()) {
      eject(state, state.health.eject());
      upstreams.capacityTaken(state);
    }
  }

  /**
   * Returns whether an upstream was ejected so recently that its requests still add to the load of
   * the others.
   *
   * @return true if so
   */
  public boolean hasRecentEjection() {
    return context.now() - lastEjection < RECENT_EJECTION_NANOS;
  }

  private void eject(UpstreamState state, long nanos) {
    if (nanos <= 0) {
      return;
    }
    lastEjection = context.now();
    context.timers().set(state.probeTimer, context.now() + nanos);
    context.report(new Fact.Ejected(state.name, nanos));
  }

  void startProbing(UpstreamState state) {
    if (state.isUnresponsive()) {
      eject(state, state.health.eject());
      return;
    }
    state.health.startProbing();
    upstreams.capacityFreed(state);
  }
}
