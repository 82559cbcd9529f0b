/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.larkkeel.overload.CallLimits;
import org.larkkeel.overload.Candidate;
import org.larkkeel.overload.OverloadControl;
import org.larkkeel.overload.ReturnPromises;
import org.larkkeel.overload.Verdict;
import org.larkkeel.overload.WaitGroup;
import org.larkkeel.relay.CallRank;
import org.larkkeel.relay.RelayConfiguration;
import org.larkkeel.relay.RelayFact;
import org.larkkeel.relay.RequestTerms;
import org.larkkeel.relay.ServiceName;

/**
 * Applies forecasts to the calls that wait for a reservation at this node.
 *
 * <p>Acts on contended services only; for all others each method has no effect. A change of the
 * reservation mode discards all measurements. Not thread-safe.
 */
final class OverloadDecisions {
  private static final long MILLI = 1_000_000L;

  /** The time after which a forecast of the coordinator that is not renewed counts as lost. */
  private static final long FORECAST_EXPIRY_NANOS = 1_000 * MILLI;

  /**
   * The interval at which a call that waits beyond its time-out checks that a forecast is in force;
   * short against the shortest target.
   */
  private static final long RECHECK_NANOS = 200 * MILLI;

  private final Actions actions;
  private final Map<ServiceName, OverloadControl<PendingReservation, CallRank>> controls =
      new HashMap<>();
  private final ReturnPromises<Long> promises = new ReturnPromises<>();
  private final Set<PendingReservation> onTimeReturns = new HashSet<>();
  private final List<PendingReservation> added = new ArrayList<>();
  private final List<PendingReservation> removed = new ArrayList<>();
  private final Map<ServiceName, Long> forecastsReceivedAt = new HashMap<>();
  private long startedAt;
  private boolean started;
  private boolean ordersQueue = true;
  private boolean deciding;

  /** Carries out the decisions. */
  interface Actions {
    /** Returns the configuration in force; null if there is none. */
    RelayConfiguration configuration();

    /** Returns whether callers compete for the capacity of a service. */
    boolean isContended(ServiceName service);

    /**
     * Rejects a waiting call that has not run.
     *
     * @param retryAfterMillis the time after which the caller is to return; 0 for none
     */
    void reject(long at, PendingReservation call, long retryAfterMillis);

    /** Reports a fact. */
    void report(RelayFact fact);
  }

  OverloadDecisions(Actions actions) {
    this.actions = actions;
  }

  /** Records that a call began to wait. */
  void added(PendingReservation call) {
    if (ordersQueue) {
      added.add(call);
    }
  }

  /** Records that a call no longer waits. */
  void removed(PendingReservation call) {
    if (ordersQueue) {
      removed.add(call);
    }
  }

  /**
   * Discards all measurements, as the queue is ordered by another node from now on or was before.
   *
   * @param nowOrdersQueue whether this node orders the queue
   */
  void restart(long at, boolean nowOrdersQueue) {
    ordersQueue = nowOrdersQueue;
    controls.clear();
    added.clear();
    removed.clear();
    onTimeReturns.clear();
    forecastsReceivedAt.clear();
    startedAt = at;
    started = true;
  }

  /** Returns whether forecasts apply to a service. */
  boolean isActive(ServiceName service) {
    return actions.isContended(service);
  }

  /**
   * The groups of the calls of a rank, in order. The last one has the lowest maximum fill, so that
   * before others it would hold them up while capacity for them is free.
   */
  enum Lateness {
    /** The call can meet its target. */
    ON_TIME,

    /** The call is forecast to miss its target. */
    FORECAST_LATE,

    /** The call has missed its target. */
    LATE
  }

  /** Returns the group of a call in the order of the queue. */
  Lateness lateness(PendingReservation call, long at) {
    if (!call.canMeetTarget(at)) {
      return Lateness.LATE;
    }
    return isInBacklog(call) ? Lateness.FORECAST_LATE : Lateness.ON_TIME;
  }

  private boolean isInBacklog(PendingReservation call) {
    OverloadControl<PendingReservation, CallRank> control = controls.get(call.service());
    return control != null && control.isInBacklog(call);
  }

  /** Returns whether a call is ordered with those that were not rejected before. */
  boolean isFresh(PendingReservation call) {
    return call.isFirstTry() || onTimeReturns.contains(call);
  }

  /** Returns the services with a forecast. */
  ImmutableSet<ServiceName> forecastServices(long at) {
    return controls.entrySet().stream()
        .filter(e -> e.getValue().hasForecast(at))
        .map(Map.Entry::getKey)
        .collect(ImmutableSet.toImmutableSet());
  }

  /** Handles the services for which the coordinator has a forecast. */
  void forecastsReceived(long at, ImmutableSet<ServiceName> services) {
    forecastsReceivedAt.keySet().retainAll(services);
    services.forEach(service -> forecastsReceivedAt.put(service, at));
  }

  private boolean hasForecast(long at, ServiceName service) {
    if (ordersQueue) {
      OverloadControl<PendingReservation, CallRank> control = controls.get(service);
      return control != null && control.hasForecast(at);
    }
    Long receivedAt = forecastsReceivedAt.get(service);
    return receivedAt != null && at - receivedAt < FORECAST_EXPIRY_NANOS;
  }

  /**
   * Returns the time until which a call of this node waits beyond its time-out, because the node
   * that orders the queue has a forecast and decides; empty if the time-out decides.
   */
  OptionalLong waitsUntil(long at, CallState call) {
    if (call.terms().isEmpty() || !isActive(call.service) || !hasForecast(at, call.service)) {
      return OptionalLong.empty();
    }
    long abandonAt = limits(call).abandonAt();
    return at < abandonAt
        ? OptionalLong.of(Math.min(abandonAt, at + RECHECK_NANOS))
        : OptionalLong.empty();
  }

  /**
   * Returns the Retry-After in milliseconds of a call of this node whose time-out has passed, 0 if
   * no capacity is forecast in time; empty if this node has no forecast.
   */
  OptionalLong claimReturn(long at, CallState call) {
    if (!ordersQueue || call.terms().isEmpty() || !hasForecast(at, call.service)) {
      return OptionalLong.empty();
    }
    long retryAfterMillis = millis(controls.get(call.service).claimReturn(at, candidate(call)));
    promise(at, call, retryAfterMillis);
    return OptionalLong.of(retryAfterMillis);
  }

  /**
   * Returns the calls of this node that exceed its maximum backlog, the last in order first.
   *
   * @param inOrder the calls in the order of the queue
   */
  List<CallState> excessBacklog(long at, List<PendingReservation> inOrder) {
    List<CallState> backlog = new ArrayList<>();
    for (PendingReservation call : inOrder) {
      if (call instanceof CallState c
          && c.isWaiting()
          && isActive(c.service)
          && lateness(c, at) != Lateness.ON_TIME
          && c.terms().isPresent()) {
        backlog.add(c);
      }
    }
    return backlog.size() <= OverloadControl.MAX_BACKLOG
        ? List.of()
        : backlog.subList(OverloadControl.MAX_BACKLOG, backlog.size()).reversed();
  }

  /** Returns whether calls were judged and wait, so that reviews are due. */
  boolean needsReview() {
    return controls.values().stream().anyMatch(control -> control.waitingCount() > 0);
  }

  /** Handles the calls that began or ended to wait; to be called before the queue is ordered. */
  void prepare(long at) {
    if (!started) {
      restart(at, ordersQueue);
    }
    controls.keySet().removeIf(service -> !isActive(service));
    for (PendingReservation call : removed) {
      OverloadControl<PendingReservation, CallRank> control = controls.get(call.service());
      if (control != null && !call.isWaiting()) {
        control.removed(at, call);
      }
      if (!call.isWaiting()) {
        onTimeReturns.remove(call);
      }
    }
    removed.clear();
    for (PendingReservation call : added) {
      if (call.isWaiting() && !call.isFirstTry() && isActive(call.service())) {
        call.terms().ifPresent(terms -> returned(at, call, terms));
      }
    }
    added.clear();
  }

  private void returned(long at, PendingReservation call, RequestTerms terms) {
    ReturnPromises.Match match = promises.arrived(at, call.arrivedAt(), terms.identity());
    if (match == ReturnPromises.Match.ON_TIME) {
      onTimeReturns.add(call);
      report(call, RelayFact.ReturnPromise.Change.RETURNED);
    }
  }

  /** Handles a call that waited and gets its reservation; to be called before it is removed. */
  void granted(long at, PendingReservation call) {
    OverloadControl<PendingReservation, CallRank> control = controls.get(call.service());
    if (control != null) {
      control.granted(at, call, call.units());
    }
    if (onTimeReturns.remove(call)) {
      promises.served();
      report(call, RelayFact.ReturnPromise.Change.SERVED);
    }
  }

  /**
   * Decides about the calls that could not be placed.
   *
   * @param at now
   * @param inOrder the calls in the order of the queue; those that no longer wait are skipped
   */
  void decide(long at, List<PendingReservation> inOrder) {
    if (deciding) {
      return;
    }
    deciding = true;
    try {
      waitingByService(inOrder).forEach((service, calls) -> decideService(at, service, calls));
    } finally {
      deciding = false;
    }
  }

  private Map<ServiceName, List<PendingReservation>> waitingByService(
      List<PendingReservation> inOrder) {
    Map<ServiceName, List<PendingReservation>> waiting = new LinkedHashMap<>();
    for (PendingReservation call : inOrder) {
      if (call.isWaiting() && isActive(call.service())) {
        waiting.computeIfAbsent(call.service(), s -> new ArrayList<>()).add(call);
      }
    }
    return waiting;
  }

  private void decideService(long at, ServiceName service, List<PendingReservation> calls) {
    OverloadControl<PendingReservation, CallRank> control =
        controls.computeIfAbsent(service, s -> new OverloadControl<>(startedAt));
    List<OverloadControl.Change<PendingReservation>> changes = new ArrayList<>();
    for (PendingReservation call : calls) {
      if (!control.isWaiting(call)) {
        changes.add(new OverloadControl.Change<>(call, control.judge(at, call, candidate(call))));
      }
    }
    if (at >= control.nextReviewAt()) {
      List<OverloadControl.Entry<PendingReservation, CallRank>> entries = new ArrayList<>();
      calls.stream()
          .filter(control::isWaiting)
          .forEach(call -> entries.add(new OverloadControl.Entry<>(call, candidate(call))));
      changes.addAll(control.review(at, entries));
    }
    changes.forEach(change -> apply(at, change.call(), change.verdict()));
  }

  private Candidate<CallRank> candidate(PendingReservation call) {
    return new Candidate<>(orderingRank(call), call.isStreaming(), call.units(), limits(call));
  }

  /** Returns the rank by which the queue orders a call. */
  private CallRank orderingRank(PendingReservation call) {
    return actions.configuration().ranks().orderingRank(call.service(), call.rank());
  }

  /** Returns the times by which a call needs its reservation. */
  static CallLimits limits(PendingReservation call) {
    return call.terms()
        .map(
            terms ->
                CallLimits.within(
                    call.arrivedAt(),
                    call.targetNanos(),
                    terms.abandonMillis() * MILLI,
                    call.arrivedAt() + terms.deadlineMillis() * MILLI))
        .orElseGet(() -> CallLimits.unbounded(call.arrivedAt(), call.targetNanos()));
  }

  private void apply(long at, PendingReservation call, Verdict verdict) {
    switch (verdict) {
      case Verdict.NoForecast n -> {}
      case Verdict.Wait w ->
          report(
              call,
              w.group() == WaitGroup.ON_TIME
                  ? RelayFact.OverloadDecided.Decision.WAIT
                  : RelayFact.OverloadDecided.Decision.BACKLOG,
              w.forecastNanos(),
              w.marginNanos(),
              0);
      case Verdict.Reject r -> {
        if (call.isWaiting()) {
          long retryAfterMillis = millis(r.retryAfterNanos());
          report(
              call,
              RelayFact.OverloadDecided.Decision.REJECT,
              r.forecastNanos(),
              r.marginNanos(),
              retryAfterMillis);
          promise(at, call, retryAfterMillis);
          actions.reject(at, call, retryAfterMillis);
        }
      }
    }
  }

  private void promise(long at, PendingReservation call, long retryAfterMillis) {
    if (retryAfterMillis > 0) {
      call.terms().ifPresent(t -> promises.promise(at, t.identity(), retryAfterMillis * MILLI));
      report(call, RelayFact.ReturnPromise.Change.PROMISED);
    }
  }

  /** Rounds up, so that no caller returns before the promised time. */
  private static long millis(OptionalLong nanos) {
    return (nanos.orElse(0) + MILLI - 1) / MILLI;
  }

  private void report(PendingReservation call, RelayFact.ReturnPromise.Change change) {
    actions.report(new RelayFact.ReturnPromise(call.wireId(), call.service().value(), change));
  }

  private void report(
      PendingReservation call,
      RelayFact.OverloadDecided.Decision decision,
      long forecastNanos,
      long marginNanos,
      long retryAfterMillis) {
    actions.report(
        new RelayFact.OverloadDecided(
            call.wireId(),
            call.service().value(),
            call.rank().toString(),
            decision,
            forecastNanos,
            marginNanos,
            retryAfterMillis));
  }
}
