/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.larkkeel.lib.UpstreamIncarnation;

/**
 * Ends everything in progress at upstreams that have restarted.
 *
 * <p>The estimates of an upstream end with the {@link UpstreamState} of its incarnation, and state
 * that is only looked up by incarnation is no longer found. This class undoes the rest:
 * reservations, prefilled prompts, moves, grants and attempts. It sends nothing to the upstream
 * itself: a handle of the earlier incarnation may name memory of another call now. An attempt whose
 * stream the next incarnation may write goes on, see {@link StreamBuilds#restarted}.
 *
 * <p>Invariant: everything that names an ended incarnation is void before the next call is placed.
 * Not thread-safe.
 */
final class EndedIncarnations {
  private final MemoryReservations reservations;
  private final Evacuation evacuation;
  private final Environment environment;

  /** Access to the calls. */
  interface Environment {
    /** Returns a copy of all calls in progress. */
    List<CallState> calls();

    /** Handles an attempt that ended with the incarnation of its upstream. */
    void attemptLost(long at, AttemptState attempt);
  }

  EndedIncarnations(
      MemoryReservations reservations, Evacuation evacuation, Environment environment) {
    this.reservations = reservations;
    this.evacuation = evacuation;
    this.environment = environment;
  }

  /** Ends everything in progress at incarnations that have ended. */
  void end(long at, List<UpstreamState> ended) {
    if (ended.isEmpty()) {
      return;
    }
    Set<UpstreamIncarnation> incarnations =
        ended.stream().map(UpstreamState::incarnation).collect(Collectors.toUnmodifiableSet());
    List<CallState> calls = environment.calls();
    calls.forEach(c -> discardState(c, incarnations));
    reservations.incarnationsEnded(incarnations);
    evacuation.incarnationsEnded(at, incarnations);
    for (CallState c : calls) {
      if (c.attempt != null
          && incarnations.contains(c.attempt.upstream().incarnation())
          && !c.mayBeOfNextIncarnation) {
        environment.attemptLost(at, c.attempt);
      }
    }
  }

  private void discardState(CallState c, Set<UpstreamIncarnation> incarnations) {
    if (c.reservedUpstream != null && incarnations.contains(c.reservedUpstream.incarnation())) {
      c.releaseReservation();
    }
    if (c.prefilledPrompt != null
        && incarnations.contains(c.prefilledPrompt.source().incarnation())) {
      c.prefilledPrompt = null;
    }
  }
}
