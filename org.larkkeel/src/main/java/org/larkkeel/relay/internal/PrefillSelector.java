/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.Optional;
import org.larkkeel.balance.WorkKind;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.relay.ServiceName;
import org.larkkeel.relay.Stage;

/**
 * Chooses the upstream that prefills a prompt.
 *
 * <p>Not thread-safe.
 */
final class PrefillSelector {
  /** The share of the target by which a prefill must be complete. */
  private static final double PREFILL_SHARE = 0.7;

  /**
   * The time that an upstream which runs calls takes for a prefill, as a multiple of that of an
   * idle prefill upstream.
   */
  private static final double LOCAL_PREFILL_FACTOR = 2;

  private final UpstreamTable upstreams;

  PrefillSelector(UpstreamTable upstreams) {
    this.upstreams = upstreams;
  }

  /**
   * Returns the best prefill upstream; empty if the upstream that runs the call had better prefill
   * the prompt locally.
   *
   * @param at now
   * @param reservation the call whose prompt is to be prefilled
   * @param near the data centre that counts as local
   * @param promptTokens the number of prompt tokens
   * @param maxInFlight the maximum number of requests of this node at one upstream
   */
  Optional<Choice> choose(
      long at,
      PendingReservation reservation,
      DataCentreName near,
      long promptTokens,
      int maxInFlight) {
    return upstreams
        .chooser()
        .choose(
            at,
            reservation.service(),
            s -> s == Stage.PREFILL,
            reservation::accepts,
            near,
            CallDemands.prefill(promptTokens, maxInFlight))
        .filter(choice -> !choice.best().losesHandles(at))
        .filter(choice -> !isLocalPrefillFaster(at, reservation, promptTokens, choice.best()));
  }

  /**
   * Returns the time that an upstream takes for a prefill as a multiple of the time of the fastest
   * one; 1 if the speeds of the service are not used.
   */
  private double slowness(long at, ServiceName service, UpstreamState prefillUpstream) {
    EngineSpeeds speeds = upstreams.speeds();
    return speeds.isUneven(at, service, WorkKind.PREFILL)
        ? speeds.maxSpeed(service, WorkKind.PREFILL) / prefillUpstream.speed().of(WorkKind.PREFILL)
        : 1;
  }

  /**
   * Returns whether a call can meet its target only if its reserved upstream prefills the prompt
   * locally, because the best prefill upstream has too much load before it. Local prefill takes
   * twice as long as an idle prefill upstream, and slows the streams there.
   */
  private boolean isLocalPrefillFaster(
      long at, PendingReservation reservation, long promptTokens, UpstreamState prefillUpstream) {
    double fastestNanos = upstreams.unitTimes().prefillNanos(prefillUpstream, promptTokens);
    double queuedNanos = fastestNanos * slowness(at, reservation.service(), prefillUpstream);
    double unqueuedNanos =
        fastestNanos * promptTokens / (prefillUpstream.totalLoad() + promptTokens);
    double latest = reservation.arrivedAt() + PREFILL_SHARE * reservation.targetNanos();
    return at + queuedNanos > latest && at + LOCAL_PREFILL_FACTOR * unqueuedNanos <= latest;
  }
}
