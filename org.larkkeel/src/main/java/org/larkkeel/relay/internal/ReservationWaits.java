/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.List;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.relay.RelayConfiguration;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RelayFact;
import org.larkkeel.relay.ReservationMode;
import org.larkkeel.relay.ServiceName;

/**
 * Ends the waits of calls that get no reservation: by time-outs, by forecasts of this node or of
 * the coordinator, and when the node drains.
 *
 * <p>Invariant: only calls that have not run are rejected. Not thread-safe.
 */
final class ReservationWaits implements OverloadDecisions.Actions {
  private final UpstreamTable upstreams;
  private final ContendedServices contended;
  private final Timers timers;
  private final SplittableRandom random;
  private final ReservationCalls calls;
  private final OverloadDecisions overload = new OverloadDecisions(this);
  private final ReservationQueue queue = new ReservationQueue(overload);
  private boolean reviewScheduled;

  ReservationWaits(
      UpstreamTable upstreams,
      ContendedServices contended,
      Timers timers,
      SplittableRandom random,
      ReservationCalls calls) {
    this.upstreams = upstreams;
    this.contended = contended;
    this.timers = timers;
    this.random = random;
    this.calls = calls;
  }

  /** Returns the queue of the calls that wait. */
  ReservationQueue queue() {
    return queue;
  }

  /** Returns the decisions on forecasts. */
  OverloadDecisions overload() {
    return overload;
  }

  @Override
  public RelayConfiguration configuration() {
    return calls.configuration();
  }

  @Override
  public boolean isContended(ServiceName service) {
    return contended.isContended(service);
  }

  @Override
  public void reject(long at, PendingReservation call, long retryAfterMillis) {
    switch (call) {
      case CallState c -> refuse(at, c, retryAfterMillis);
      case RemoteReservation r -> {
        queue.remove(r);
        r.reject(retryAfterMillis);
        sendAnswer(r);
      }
    }
  }

  @Override
  public void report(RelayFact fact) {
    calls.emit(new RelayEffect.Report(fact));
  }

  private void refuse(long at, CallState c, long retryAfterMillis) {
    calls.refuseWithRetryAfter(
        at,
        c,
        retryAfterMillis,
        "no upstream of " + c.service + " is forecast to have room in time");
  }

  /** Sends the answer to a request of another node, if there is one. */
  void sendAnswer(RemoteReservation r) {
    r.answer().ifPresent(calls::emit);
  }

  /** Schedules a review of the forecasts, unless one is scheduled. */
  void scheduleReview(long at) {
    if (!reviewScheduled) {
      reviewScheduled = true;
      timers.add(new Timers.Timer.OverloadReview(at));
    }
  }

  /** Handles the time of a review. */
  void reviewBegins() {
    reviewScheduled = false;
  }

  /**
   * Handles a rejection by the coordinator; it is ignored for a call that no longer waits or may
   * have run.
   */
  void rejected(long at, CallState c, long retryAfterMillis) {
    if (c.awaitsReservation && c.terms().isPresent()) {
      refuse(at, c, retryAfterMillis);
    }
  }

  /**
   * Handles the time-out of a call: ends its wait, unless the node that orders the queue has a
   * forecast for it. One that may have run continues to wait in a contended service, until its
   * caller leaves or its deadline; else it is sent regardless of memory.
   *
   * @param mode the reservation mode of this node
   */
  void timedOut(long at, CallState c, ReservationMode mode) {
    if (!c.awaitsReservation) {
      return;
    }
    if (c.hasRunOrBegun()) {
      continueOrForce(at, c);
      return;
    }
    OptionalLong waitsUntil = overload.waitsUntil(at, c);
    if (waitsUntil.isEmpty()) {
      refuseAfterWait(at, c, mode);
      return;
    }
    timers.add(new Timers.Timer.ReservationTimeout(waitsUntil.getAsLong(), c.call.id()));
    List<PendingReservation> inOrder = queue.calls(at, calls.configuration());
    overload.excessBacklog(at, inOrder).forEach(e -> refuseAfterWait(at, e, mode));
  }

  private void continueOrForce(long at, CallState c) {
    if (contended.isContended(c.service)) {
      report(
          new RelayFact.WaitContinued(
              c.call.wireId(), c.service.value(), c.units(), at - c.arrivedAt));
    } else {
      queue.remove(c);
      calls.force(at, c);
    }
  }

  private void refuseAfterWait(long at, CallState c, ReservationMode mode) {
    if (!c.awaitsReservation) {
      return;
    }
    long retryAfterMillis =
        overload
            .claimReturn(at, c)
            .orElseGet(() -> ReservationTimeouts.retryAfterMillis(c, at, random));
    CallDemand demand = CallDemands.run(c, calls.configuration(), calls.nodes(), at);
    String detail =
        "no upstream of %s has room: need %d, most free %d of %d, nodes heard %d, keeping %s"
            .formatted(
                c.service,
                demand.units(),
                upstreams.availability().maxFree(c.service, demand),
                demand.memoryTokens(),
                upstreams.loads().reportingNodes(),
                mode);
    calls.refuseWithRetryAfter(at, c, retryAfterMillis, detail);
  }

  /**
   * Refuses the pending calls of this node, so that they are sent to other nodes. In contended
   * services, calls that may have run continue to wait, as no other node can continue them.
   */
  void drain(long at) {
    for (CallState c : queue.own()) {
      boolean continues = c.hasRunOrBegun() && contended.isContended(c.service);
      if (c.awaitsReservation && !continues) {
        calls.fail(at, c, ErrorKind.NOT_READY, "the node stops");
      }
    }
  }
}
