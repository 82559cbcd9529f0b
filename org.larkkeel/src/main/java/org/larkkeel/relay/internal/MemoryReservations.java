/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.lib.WorkspaceName;
import org.larkkeel.overload.GatheredCapacity;
import org.larkkeel.overload.OverloadControl;
import org.larkkeel.relay.BuildName;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RelayFact;
import org.larkkeel.relay.RelaySettings;
import org.larkkeel.relay.RelayUpstream;
import org.larkkeel.relay.ReservationMode;
import org.larkkeel.relay.ReservationRequest;
import org.larkkeel.relay.ServiceName;

/**
 * Reserves memory for calls at an upstream before their prompts are prefilled, so that no prefill
 * is wasted.
 *
 * <p>By {@link ReservationMode}, this node reserves by itself, requests reservations from the
 * reservation coordinator, or is the coordinator for the calls of all nodes. Invariant: a call
 * waits here or has a reservation, and never both. Not thread-safe.
 */
final class MemoryReservations {
  private static final long MILLI = 1_000_000L;

  /**
   * The maximum random delay before this node reserves free capacity that other nodes see as well.
   */
  private static final long MAX_CONTENTION_DELAY_NANOS = 80 * MILLI;

  /**
   * The maximum number of passes over the queue for one event, which bounds its time; the next
   * event continues. A pass that places nothing is the last, so that this is rarely reached.
   */
  private static final int MAX_PASSES = 8;

  /**
   * The minimum time from the begin of a wait to the review of its forecast. A review may place a
   * call that at once waits again; without time in between, the reviews would not end.
   */
  private static final long MIN_REVIEW_NANOS = 5 * MILLI;

  private final UpstreamTable upstreams;
  private final ContendedServices contended;
  private final DedicatedEngines dedicated;
  private final ReservationAuthority authority;
  private final Timers timers;
  private final SplittableRandom random;
  private final RelaySettings settings;
  private final ReservationCalls calls;
  private final PrefillSelector prefillSelector;
  private final ReservationWaits waits;
  private final OverloadDecisions overload;
  private final ReservationQueue queue;
  private final RankFloors floors = new RankFloors();
  private final RemoteReservations remote;
  private ReservationMode mode = ReservationMode.EACH;
  private boolean awaitsContentionDelay;
  private long placementPasses;

  MemoryReservations(
      UpstreamTable upstreams,
      ContendedServices contended,
      Timers timers,
      SplittableRandom random,
      RelaySettings settings,
      ReservationCalls calls) {
    this.upstreams = upstreams;
    this.contended = contended;
    this.dedicated = new DedicatedEngines(upstreams, contended, timers, this::report);
    this.authority = new ReservationAuthority(contended, timers);
    this.timers = timers;
    this.random = random;
    this.settings = settings;
    this.calls = calls;
    this.prefillSelector = new PrefillSelector(upstreams);
    this.waits = new ReservationWaits(upstreams, contended, timers, random, calls);
    this.overload = waits.overload();
    this.queue = waits.queue();
    this.remote = new RemoteReservations(queue);
  }

  /** Returns whether a call needs memory at the upstream that runs it. */
  boolean needsReservation(CallState c) {
    return c.call.size().prompt() > 0 && calls.configuration().bounds(c.service).memoryTokens() > 0;
  }

  /** Returns the demand of running a call. */
  CallDemand demand(CallState c, long at) {
    return CallDemands.run(c, calls.configuration(), calls.nodes(), at);
  }

  /**
   * Reserves memory for a call, or lets it wait for a reservation; refuses it if the node is
   * draining, so that it is sent to another node.
   */
  void reserveOrWait(long at, CallState c) {
    if (calls.isDraining()) {
      calls.fail(at, c, ErrorKind.NOT_READY, "the node stops");
    } else if (isTooLarge(at, c)) {
      calls.refuseWithRetryAfter(at, c, 0, "the call needs more memory than an upstream has");
    } else if (mode != ReservationMode.ASK && !queue.has(c.service) && tryReserve(at, c)) {
      start(at, c);
    } else {
      awaitReservation(at, c);
      if (contended.isContended(c.service)) {
        placePending(at);
      }
    }
  }

  private boolean isTooLarge(long at, CallState c) {
    CallDemand demand = demand(c, at);
    return contended.isContended(c.service)
        && GatheredCapacity.isTooLarge(demand.units(), demand.memoryTokens());
  }

  /**
   * Lets a call wait for a reservation; refuses it if its upstreams accept no requests within its
   * maximum wait.
   */
  void awaitReservation(long at, CallState c) {
    c.releaseReservation();
    OptionalLong opensAt = upstreams.availability().acceptsWorkAt(at, c);
    if (c.runCount == 0
        && opensAt.isPresent()
        && opensAt.getAsLong() > at + ReservationTimeouts.maxWaitNanos(c, at)) {
      long retryAfterMillis =
          ReservationTimeouts.retryAfterBackoffMillis(at, opensAt.getAsLong(), random);
      calls.refuseWithRetryAfter(
          at, c, retryAfterMillis, ReservationTimeouts.notAcceptingDetail(c.service));
      return;
    }
    c.waitingUnits = demand(c, at).units();
    queue.add(c);
    report(
        new RelayFact.Waiting(
            c.call.wireId(), c.service.value(), c.rank, c.waitingUnits, queue.size()));
    timers.add(
        new Timers.Timer.ReservationTimeout(
            at + ReservationTimeouts.maxWaitNanos(c, at), c.call.id()));
    if (mode != ReservationMode.ASK && overload.isActive(c.service)) {
      waits.scheduleReview(at + MIN_REVIEW_NANOS);
    }
  }

  /** Removes a call from the queue. */
  void remove(CallState c) {
    queue.remove(c);
  }

  /**
   * Reserves memory for a call, if this node may and any is free as far as is known here; returns
   * whether it did.
   */
  boolean tryReserve(long at, CallState c) {
    return authority.mayReserve(at, c.service) && tryReserve(at, c, demand(c, at));
  }

  private boolean tryReserve(long at, CallState c, CallDemand demand) {
    Optional<Choice> choice = dedicated.choose(at, c, settings.dataCentre(), demand);
    choice.ifPresent(found -> reserve(at, c, found.best(), demand));
    return choice.isPresent();
  }

  private void reserve(long at, CallState c, UpstreamState upstream, CallDemand demand) {
    c.reserveAt(upstream, demand.units());
    floors.granted(at, calls.configuration(), c, demand.units());
    queue.shares().granted(calls.configuration(), c, demand.units());
    report(
        new RelayFact.ReservationMade(
            c.call.wireId(),
            upstream.upstream().name(),
            demand.units(),
            upstream.totalLoad(),
            demand.memoryTokens(),
            upstreams.loads().reportingNodes(),
            at - c.arrivedAt));
  }

  private void start(long at, CallState c) {
    calls.start(at, c, choosePrefillUpstream(at, c));
  }

  private Optional<Choice> choosePrefillUpstream(long at, CallState c) {
    long promptTokens = remotePrefillTokens(c);
    if (promptTokens == 0) {
      return Optional.empty();
    }
    int maxInFlight =
        CallDemands.maxInFlight(calls.configuration().bounds(c.service), calls.nodes());
    return prefillSelector.choose(
        at, c, c.reservedUpstream.upstream().dataCentre(), promptTokens, maxInFlight);
  }

  /**
   * Returns the number of prompt tokens that another upstream than the reserved one is to prefill;
   * 0 if none is to.
   */
  private long remotePrefillTokens(CallState c) {
    int prompt = c.call.size().prompt();
    boolean needsNoPrefill = c.streamBegan || c.prefilledPrompt != null || mayBeCached(c);
    return !needsNoPrefill && prompt >= settings.stageTokens() ? prompt : 0;
  }

  /**
   * Returns whether an engine that ran the call for its caller before may still have its prompt
   * cached.
   */
  private static boolean mayBeCached(CallState c) {
    return c.call.resumes() && c.call.prompt().key().isKnown();
  }

  /**
   * Returns the upstream other than the reserved one that most likely has the prompt of a call
   * cached: the one that prefilled it for this node, or else the one that the prompt ranks first.
   */
  Optional<RelayUpstream> likelyCacheHolder(long at, CallState c) {
    if (c.prefillUpstream != null) {
      return upstreams
          .find(c.prefillUpstream)
          .filter(s -> s.isHealthy(at))
          .map(UpstreamState::upstream);
    }
    return mayBeCached(c)
        ? upstreams
            .availability()
            .firstRanked(at, c.service, c.call.prompt().key(), c.reservedUpstream)
        : Optional.empty();
  }

  /** Sets the reservation mode from now on. */
  void setMode(long at, ReservationMode newMode) {
    queue.shares().setMode(newMode);
    if (newMode != mode) {
      overload.restart(at, newMode != ReservationMode.ASK);
    }
    mode = newMode;
    dedicated.modeChanged(at, newMode);
    authority.modeChanged(at, newMode);
    upstreams.speeds().modeChanged(newMode);
    upstreams.chooser().setTotalsReceived(newMode == ReservationMode.ASK);
    placePending(at);
  }

  /** Handles a change of the load of other nodes. */
  void loadChanged(long at) {
    if (mode == ReservationMode.KEEP) {
      placePending(at);
    } else if (mode == ReservationMode.EACH && queue.size() > 0 && !awaitsContentionDelay) {
      awaitsContentionDelay = true;
      timers.add(new Timers.Timer.PlacementRetry(at + random.nextLong(MAX_CONTENTION_DELAY_NANOS)));
    }
  }

  /** Handles the end of the random delay. */
  void retryPlacement(long at) {
    awaitsContentionDelay = false;
    placePending(at);
  }

  /**
   * Handles incarnations that ended by a restart: reservations that were granted there are void.
   */
  void incarnationsEnded(Set<UpstreamIncarnation> incarnations) {
    remote.incarnationsEnded(incarnations);
  }

  /** Drops the requests of unresponsive nodes. */
  void dropUnresponsive(long at) {
    remote.dropUnresponsive(at, UpstreamLoads.INACTIVITY_NANOS);
  }

  /**
   * Places the pending calls in order until there is no capacity for the next one of their service.
   * A call with excluded upstreams, or of a contended service, does not hold up those behind it.
   */
  void placePending(long at) {
    dedicated.refresh(at);
    overload.prepare(at);
    if (queue.size() == 0 || mode == ReservationMode.ASK || calls.configuration() == null) {
      return;
    }
    // Verdicts change the order, so that they come after the last pass: with another order in each
    // pass, calls could take an engine from each other without end.
    PlacementOrder order;
    boolean mayPlaceMore;
    int passes = 0;
    do {
      DedicatedEngines.Pass pass = dedicated.beginPass(at);
      order = placeInOrder(at, pass);
      mayPlaceMore = pass.end() && ++passes < MAX_PASSES;
    } while (mayPlaceMore);
    overload.decide(at, order.calls());
    if (overload.needsReview()) {
      waits.scheduleReview(at + OverloadControl.REVIEW_NANOS);
    }
  }

  /** Returns how often the queue was gone over. */
  long placementPasses() {
    return placementPasses;
  }

  private PlacementOrder placeInOrder(long at, DedicatedEngines.Pass pass) {
    placementPasses++;
    PlacementOrder order = queue.inOrder(at, calls.configuration(), floors);
    for (var turn = order.next(at); turn.isPresent(); turn = order.next(at)) {
      PendingReservation reservation = turn.get().reservation();
      if (!authority.mayReserve(at, reservation.service())) {
        order.holdUp(reservation.service());
        continue;
      }
      CallDemand demand = demandOf(at, turn.get());
      boolean placed = pass.mayFit(reservation, demand) && place(at, reservation, demand);
      if (placed) {
        pass.placed(reservation);
      } else if (pass.notPlaced(reservation, demand) == DedicatedEngines.CallsBehind.WAIT
          && reservation.acceptsAll(upstreams.ofService(reservation.service()))) {
        order.holdUp(reservation.service());
      }
    }
    return order;
  }

  private boolean place(long at, PendingReservation reservation, CallDemand demand) {
    return switch (reservation) {
      case CallState c -> admit(at, c, demand);
      case RemoteReservation r -> grant(at, r, demand);
    };
  }

  private CallDemand demandOf(long at, PlacementOrder.Turn turn) {
    CallDemand demand =
        switch (turn.reservation()) {
          case CallState c -> demand(c, at);
          case RemoteReservation r -> CallDemands.remote(r, calls.configuration(), at);
        };
    return switch (turn.claim()) {
      case ORDER -> demand;
      case FLOOR -> CallDemands.owed(demand);
    };
  }

  private boolean admit(long at, CallState c, CallDemand demand) {
    if (!tryReserve(at, c, demand)) {
      return false;
    }
    overload.granted(at, c);
    queue.remove(c);
    start(at, c);
    return true;
  }

  private boolean grant(long at, RemoteReservation r, CallDemand demand) {
    if (demand.memoryTokens() == 0) {
      return false;
    }
    Optional<Choice> choice = dedicated.choose(at, r, r.dataCentre(), demand);
    if (choice.isEmpty()) {
      return false;
    }
    UpstreamState reserved = choice.get().best();
    Optional<UpstreamState> prefillUpstream = prefillUpstreamFor(at, r, reserved);
    overload.granted(at, r);
    queue.remove(r);
    r.grant(reserved, prefillUpstream);
    floors.granted(at, calls.configuration(), r, r.units());
    queue.shares().granted(calls.configuration(), r, r.units());
    report(
        new RelayFact.ReservationGranted(
            r.request().wireId(),
            r.node(),
            r.rank(),
            r.workspace().map(WorkspaceName::value).orElse(""),
            reserved.upstream().name(),
            prefillUpstream.map(s -> s.upstream().name().value()).orElse(""),
            r.request().units(),
            reserved.totalLoad(),
            demand.memoryTokens(),
            at - r.arrivedAt()));
    waits.sendAnswer(r);
    return true;
  }

  private Optional<UpstreamState> prefillUpstreamFor(
      long at, RemoteReservation r, UpstreamState reserved) {
    long promptTokens = r.request().prompt();
    return promptTokens == 0
        ? Optional.empty()
        : prefillSelector
            .choose(at, r, reserved.upstream().dataCentre(), promptTokens, Integer.MAX_VALUE)
            .map(Choice::best);
  }

  /** Replaces the reservation requests of another node by exactly these. */
  void requested(
      long at,
      HostName node,
      DataCentreName dataCentre,
      ImmutableList<ReservationRequest> requests) {
    replaceRequests(at, node, dataCentre, requests);
    placePending(at);
  }

  /** Replaces the reservation requests of another node, without placing any. */
  void replaceRequests(
      long at,
      HostName node,
      DataCentreName dataCentre,
      ImmutableList<ReservationRequest> requests) {
    remote.replaceRequests(at, node, dataCentre, requests).forEach(waits::sendAnswer);
  }

  /** Returns the reservation requests to send to the reservation coordinator. */
  ImmutableList<ReservationRequest> requests(long at) {
    if (mode != ReservationMode.ASK || queue.size() == 0) {
      return ImmutableList.of();
    }
    return queue.own().stream().map(c -> request(at, c)).collect(ImmutableList.toImmutableList());
  }

  private ReservationRequest request(long at, CallState c) {
    return new ReservationRequest(
        c.call.id(),
        c.call.wireId(),
        c.service,
        demand(c, at).units(),
        remotePrefillTokens(c),
        c.isFirstTry(),
        c.isStreaming(),
        (at - c.arrivedAt) / MILLI,
        c.rule.targetMillis(),
        c.call.prompt().key(),
        excludedInRequest(c),
        c.rank,
        c.rankedWorkspace,
        overload.isActive(c.service) ? c.terms() : Optional.empty(),
        namedBuild(c));
  }

  private static Optional<BuildName> namedBuild(CallState c) {
    return Optional.ofNullable(c.build).filter(b -> !b.equals(BuildName.UNKNOWN));
  }

  /**
   * Returns the upstreams that the request of a call excludes: of a named build only those of that
   * build, as a report of many names may not fit a message.
   */
  private ImmutableSet<UpstreamIncarnation> excludedInRequest(CallState c) {
    if (c.build == null) {
      return ImmutableSet.copyOf(c.excluded);
    }
    boolean namesBuild = namedBuild(c).isPresent();
    return upstreams.ofService(c.service).stream()
        .filter(s -> !c.accepts(s) && (!namesBuild || c.acceptsBuild(s)))
        .map(UpstreamState::incarnation)
        .collect(ImmutableSet.toImmutableSet());
  }

  /** Returns the upstreams of a service that this node would not choose now for any call. */
  ImmutableSet<UpstreamIncarnation> notEligible(long at, ServiceName service) {
    return upstreams.availability().notEligible(at, service);
  }

  /**
   * Handles a granted reservation: takes it, unless the call no longer waits or this node knows the
   * upstream to be unusable.
   */
  void granted(
      long at,
      CallState c,
      UpstreamIncarnation reserved,
      Optional<UpstreamIncarnation> prefillUpstream) {
    Optional<UpstreamState> found = upstreams.find(reserved).filter(s -> calls.isUsable(at, c, s));
    if (!c.awaitsReservation || found.isEmpty()) {
      return;
    }
    queue.remove(c);
    reserve(at, c, found.get(), demand(c, at));
    Optional<Choice> prefillChoice =
        prefillUpstream
            .flatMap(upstreams::find)
            .filter(s -> remotePrefillTokens(c) > 0 && calls.isUsable(at, c, s))
            .map(s -> new Choice(s, 0, "", 0, 1));
    calls.start(at, c, prefillChoice);
  }

  /** Handles the end of a call's maximum wait. */
  void waitTimedOut(long at, CallState c) {
    waits.timedOut(at, c, mode);
  }

  /** Handles the time of a review of the forecasts. */
  void review(long at) {
    waits.reviewBegins();
    placePending(at);
  }

  /** Returns the calls that wait, and the ends of their waits. */
  ReservationWaits waits() {
    return waits;
  }

  private void report(RelayFact fact) {
    calls.emit(new RelayEffect.Report(fact));
  }
}
