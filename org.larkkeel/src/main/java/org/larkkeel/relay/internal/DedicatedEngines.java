/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.overload.GatheredCapacity;
import org.larkkeel.overload.GatheredCapacity.CallStatus;
import org.larkkeel.overload.GatheredCapacity.Candidate;
import org.larkkeel.overload.GatheredCapacity.Change;
import org.larkkeel.overload.GatheredCapacity.EndReason;
import org.larkkeel.relay.RelayFact;
import org.larkkeel.relay.ReservationMode;
import org.larkkeel.relay.ServiceName;
import org.larkkeel.relay.Stage;

/**
 * Dedicates engines of contended services to calls that fit at no engine, by {@link
 * GatheredCapacity}.
 *
 * <p>Invariant: no call gets a reservation at an engine that is dedicated to another one. In
 * services that are not contended, it has no effect. Not thread-safe.
 */
final class DedicatedEngines {
  private final UpstreamTable upstreams;
  private final ContendedServices contended;
  private final Timers timers;
  private final Consumer<RelayFact> report;
  private final Map<ServiceName, GatheredCapacity<PendingReservation, UpstreamIncarnation>>
      services = new HashMap<>();
  private ReservationMode mode = ReservationMode.EACH;

  /** Whether the calls behind a call that was not placed may be placed in the same pass. */
  enum CallsBehind {
    /** They may be placed at other engines. */
    PROCEED,

    /** They wait for the call. */
    WAIT
  }

  DedicatedEngines(
      UpstreamTable upstreams,
      ContendedServices contended,
      Timers timers,
      Consumer<RelayFact> report) {
    this.upstreams = upstreams;
    this.contended = contended;
    this.timers = timers;
    this.report = report;
    upstreams.chooser().setDedicated(this::isDedicated);
  }

  private boolean isDedicated(UpstreamState s) {
    if (services.isEmpty()) {
      return false;
    }
    var gathered = services.get(s.upstream().service());
    return gathered != null && gathered.isDedicated(s.incarnation());
  }

  /** Handles a change of the reservation mode, with which all dedications end. */
  void modeChanged(long at, ReservationMode newMode) {
    if (newMode != mode) {
      mode = newMode;
      services.forEach(
          (service, g) ->
              g.endAll(EndReason.COORDINATOR_CHANGED)
                  .forEach(
                      e -> {
                        reportChange(at, service, e);
                      }));
      services.clear();
    }
  }

  /**
   * Returns the upstream for a call: the one with the lowest cost that is not dedicated, or else
   * the one that is dedicated to this call, once it has enough free capacity.
   */
  Optional<Choice> choose(
      long at, PendingReservation call, DataCentreName near, CallDemand demand) {
    Optional<Choice> choice =
        upstreams
            .chooser()
            .choose(at, call.service(), Stage::runsCalls, call::accepts, near, demand);
    return choice.isPresent() || services.isEmpty() ? choice : ownEngine(at, call, demand);
  }

  private Optional<Choice> ownEngine(long at, PendingReservation call, CallDemand demand) {
    return Optional.ofNullable(services.get(call.service()))
        .flatMap(g -> g.engineOf(call))
        .flatMap(upstreams::find)
        .filter(s -> isCandidate(at, s, call, demand) && s.acceptsWork(at))
        .filter(s -> CallDemands.dedicated(demand).fits(s, at))
        .map(s -> new Choice(s, 0, "", 0, 1));
  }

  private boolean isCandidate(
      long at, UpstreamState s, PendingReservation call, CallDemand demand) {
    return s.upstream().stage().runsCalls()
        && isUsable(at, s)
        && !s.isFull(at)
        && s.inFlight() < demand.maxInFlight()
        && !startsSlowly(at, s)
        && call.accepts(s);
  }

  /** Returns whether an engine still takes only a share of its memory, as it is new. */
  private boolean startsSlowly(long at, UpstreamState s) {
    EngineSpeeds speeds = upstreams.speeds();
    return speeds.limitsNewEngines(at, s.upstream().service()) && speeds.memoryShare(at, s) < 1;
  }

  private static boolean isUsable(long at, UpstreamState s) {
    return s.isHealthy(at) && s.acceptsRequests(at);
  }

  /** Ends the dedications that are no longer needed or allowed; returns whether any ended. */
  boolean refresh(long at) {
    boolean anyEnded = false;
    for (Iterator<ServiceName> i = services.keySet().iterator(); i.hasNext(); ) {
      ServiceName service = i.next();
      var gathered = services.get(service);
      List<Change.Ended<PendingReservation, UpstreamIncarnation>> ended =
          contended.isContended(service)
              ? gathered.refresh(
                  at,
                  DedicatedEngines::status,
                  e -> upstreams.find(e).filter(s -> isUsable(at, s)).isPresent(),
                  maxDedications(service))
              : gathered.endAll(EndReason.NOT_CONTENDED);
      ended.forEach(e -> reportChange(at, service, e));
      anyEnded |= !ended.isEmpty();
      if (gathered.isEmpty()) {
        i.remove();
      }
    }
    return anyEnded;
  }

  private static CallStatus status(PendingReservation call) {
    if (call.isWaiting()) {
      return CallStatus.WAITING;
    }
    boolean isPlaced =
        switch (call) {
          case CallState c -> c.reservedUpstream != null;
          case RemoteReservation r -> r.reservedUpstream() != null;
        };
    return isPlaced ? CallStatus.PLACED : CallStatus.ENDED;
  }

  /**
   * Returns the maximum number of dedications. A node that reserves by itself does not know what
   * others dedicate, so it has one at most.
   */
  private int maxDedications(ServiceName service) {
    if (mode != ReservationMode.KEEP) {
      return 1;
    }
    long engines =
        upstreams.ofService(service).stream()
            .filter(s -> s.upstream().stage().runsCalls() && !s.isLeavingOrMissing())
            .count();
    return GatheredCapacity.maxDedications((int) engines);
  }

  private void reportChange(
      long at, ServiceName service, Change<PendingReservation, UpstreamIncarnation> change) {
    PendingReservation call = change.dedication().call();
    String wireId =
        switch (call) {
          case CallState c -> c.call.wireId();
          case RemoteReservation r -> r.request().wireId();
        };
    UpstreamIncarnation engine = change.dedication().engine();
    report.accept(
        switch (change) {
          case Change.Began<PendingReservation, UpstreamIncarnation> b ->
              new RelayFact.EngineDedicated(
                  wireId,
                  service.value(),
                  call.rank(),
                  engine.name(),
                  b.free(),
                  services.get(service).size());
          case Change.Ended<PendingReservation, UpstreamIncarnation> e ->
              new RelayFact.DedicationEnded(
                  wireId, service.value(), engine.name(), e.reason(), at - e.dedication().since());
        });
  }

  /** Begins a pass over the waiting calls in order. */
  Pass beginPass(long at) {
    return new Pass(at);
  }

  /** One pass over the waiting calls. Not thread-safe. */
  final class Pass {
    private final long at;
    private final Set<PendingReservation> ahead = new HashSet<>();
    private final Map<ServiceName, List<CallDemand>> unplaced = new HashMap<>();
    private final Map<ServiceName, Integer> maxDedications = new HashMap<>();
    private final Set<ServiceName> withoutCandidates = new HashSet<>();
    private boolean mayPlaceMore;

    private Pass(long at) {
      this.at = at;
    }

    /**
     * Returns whether a call may fit at an upstream: false if a call with at most its demand did
     * not fit at any in this pass. This bounds the cost of a pass in which no call holds up others.
     */
    boolean mayFit(PendingReservation call, CallDemand demand) {
      List<CallDemand> failed = unplaced.get(call.service());
      return failed == null
          || hasEngine(call)
          || failed.stream().noneMatch(f -> isAtMost(f, demand));
    }

    private static boolean isAtMost(CallDemand failed, CallDemand demand) {
      return failed.units() <= demand.units()
          && failed.maxFill() >= demand.maxFill()
          && failed.maxInFlight() >= demand.maxInFlight();
    }

    private boolean hasEngine(PendingReservation call) {
      var gathered = services.get(call.service());
      return gathered != null && gathered.engineOf(call).isPresent();
    }

    /** Handles a call that was placed: the engine that is dedicated to it takes others again. */
    void placed(PendingReservation call) {
      if (hasEngine(call)) {
        refresh(at);
        unplaced.remove(call.service());
        mayPlaceMore = true;
      }
    }

    /** Handles a call that was not placed; dedicates an engine to it if it is due one. */
    CallsBehind notPlaced(PendingReservation call, CallDemand demand) {
      ServiceName service = call.service();
      if (demand.memoryTokens() == 0 || !contended.isContended(service)) {
        return CallsBehind.WAIT;
      }
      if (call.acceptsAll(upstreams.ofService(service)) && !hasEngine(call)) {
        recordUnplaced(service, demand);
      }
      if (CallDemands.mayGather(demand) && !withoutCandidates.contains(service)) {
        dedicate(call, demand);
      }
      ahead.add(call);
      return CallsBehind.PROCEED;
    }

    private void recordUnplaced(ServiceName service, CallDemand demand) {
      List<CallDemand> failed = unplaced.computeIfAbsent(service, s -> new ArrayList<>());
      if (failed.stream().noneMatch(f -> isAtMost(f, demand))) {
        failed.removeIf(f -> isAtMost(demand, f));
        failed.add(demand);
      }
    }

    private void dedicate(PendingReservation call, CallDemand demand) {
      ServiceName service = call.service();
      int max = maxDedications.computeIfAbsent(service, DedicatedEngines.this::maxDedications);
      var gathered = services.computeIfAbsent(service, s -> new GatheredCapacity<>());
      if (!gathered.mayDedicate(call, max, ahead)) {
        return;
      }
      List<Candidate<UpstreamIncarnation>> candidates = candidates(call, demand);
      if (candidates.isEmpty() && call.acceptsAll(upstreams.ofService(service))) {
        withoutCandidates.add(service);
      }
      for (var change : gathered.dedicate(at, call, candidates, max, ahead)) {
        reportChange(at, service, change);
        if (change instanceof Change.Began) {
          timers.add(new Timers.Timer.PlacementRetry(at + GatheredCapacity.MAX_NANOS));
          mayPlaceMore |= ownEngine(at, call, demand).isPresent();
        }
      }
    }

    private List<Candidate<UpstreamIncarnation>> candidates(
        PendingReservation call, CallDemand demand) {
      CallDemand dedicated = CallDemands.dedicated(demand);
      long capacity = Math.round(dedicated.maxFill() * demand.memoryTokens());
      List<Candidate<UpstreamIncarnation>> candidates = new ArrayList<>();
      for (UpstreamState s : upstreams.ofService(call.service())) {
        if (isCandidate(at, s, call, demand)) {
          candidates.add(new Candidate<>(s.incarnation(), capacity - s.totalLoad()));
        }
      }
      return candidates;
    }

    /**
     * Ends the pass; returns whether another one may place calls, as a dedication ended or a newly
     * dedicated engine already has enough free capacity.
     */
    boolean end() {
      return refresh(at) || mayPlaceMore;
    }
  }
}
