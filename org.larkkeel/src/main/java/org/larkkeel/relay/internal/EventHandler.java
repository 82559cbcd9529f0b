/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.larkkeel.balance.SpeedSample;
import org.larkkeel.balance.UpstreamSpeed;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.lib.Fingerprint;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.quota.QuotaGrant;
import org.larkkeel.quota.QuotaKey;
import org.larkkeel.quota.QuotaRequest;
import org.larkkeel.quota.TokenLimit;
import org.larkkeel.relay.BuildName;
import org.larkkeel.relay.CallKind;
import org.larkkeel.relay.CrashSuspect;
import org.larkkeel.relay.MoveResult;
import org.larkkeel.relay.NodeReport;
import org.larkkeel.relay.ProbeResult;
import org.larkkeel.relay.RateLimitReport;
import org.larkkeel.relay.RateLimitUsage;
import org.larkkeel.relay.RelayCall;
import org.larkkeel.relay.RelayConfiguration;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RelayEvent;
import org.larkkeel.relay.RelayFact;
import org.larkkeel.relay.RelaySettings;
import org.larkkeel.relay.RelayUpstream;
import org.larkkeel.relay.ReservationMode;
import org.larkkeel.relay.ReservationRequest;
import org.larkkeel.relay.ServiceName;
import org.larkkeel.relay.StreamBuild;
import org.larkkeel.relay.StreamFinding;
import org.larkkeel.relay.StreamId;
import org.larkkeel.relay.StreamLookup;
import org.larkkeel.relay.UpstreamNotice;
import org.larkkeel.relay.UpstreamPath;

/**
 * Handles the events of the relay router by passing each to the component that it concerns.
 *
 * <p>The path of a call: {@link Admission} accepts it, {@link Quotas} may refuse it, {@link
 * MemoryReservations} queues it until memory is reserved, {@link Dispatch} sends it, and {@link
 * Outcomes} decides what follows, until {@link OpenCalls} drops it. {@link Attempts} tracks the
 * attempts in flight, {@link AttemptTimeouts} computes their timeouts, {@link RetryBudget} limits
 * retries, {@link PrefillResults} tracks the prompts that were prefilled for another upstream,
 * {@link Evacuation} moves runs, and {@link FinalAnswers} answers callers in place of an upstream.
 *
 * <p>Invariants: each call gets exactly one of {@code Deliver}, {@code Refuse} and {@code Cut},
 * unless its caller left; memory is reserved at one upstream for each call in progress that needs
 * any. Not thread-safe.
 */
public final class EventHandler {
  private final Core core;

  /** Creates a handler without a configuration. */
  public EventHandler(RelaySettings settings) {
    core = new Core(settings);
  }

  /** Sets the sink that receives all effects. */
  public void setEffectSink(Consumer<RelayEffect> sink) {
    core.effects(sink);
  }

  /** Records the time of an event; the first one is the start of the node. */
  public void startedBy(long at) {
    core.retryBudget.started(at);
  }

  /** Returns the component that handles the outcomes of attempts. */
  public Outcomes outcomes() {
    return core.outcomes;
  }

  /** Returns the component that refuses calls by their heads. */
  public EarlyQuotaRefusals earlyQuotaRefusals() {
    return core.earlyQuotaRefusals;
  }

  /** Returns the configuration in force; empty if there is none. */
  public Optional<RelayConfiguration> configuration() {
    return Optional.ofNullable(core.admission.configuration());
  }

  /** Returns whether calls can be placed. */
  public boolean isReady() {
    return core.admission.isReady();
  }

  /** Returns how often the queue of waiting calls was gone over to place them. */
  public long placementPasses() {
    return core.reservations.placementPasses();
  }

  /** Returns the number of calls without a final answer. */
  public int inProgress() {
    return core.openCalls.size() + core.heldArrivals.size();
  }

  /** Returns the number of known upstreams. */
  public int upstreamCount() {
    return core.upstreams.size();
  }

  /** Returns the load that this node has in flight at each upstream. */
  public ImmutableMap<UpstreamIncarnation, Long> loads() {
    return core.upstreams.loads().own();
  }

  /**
   * Returns the upstreams at which this node recently observed that prefill handles are lost
   * immediately.
   */
  public ImmutableSet<UpstreamIncarnation> losingHandles(long at) {
    return core.upstreams.losingHandles(at);
  }

  /** Returns the time at which a tick is due; {@link Long#MAX_VALUE} if none is. */
  public long nextDue() {
    return core.timers.next();
  }

  /**
   * Applies a configuration if it is newer than the one in force, and looks up the ranks of all
   * calls again.
   */
  public void configurationRead(long at, RelayConfiguration configuration) {
    if (core.admission.apply(configuration) == Admission.Applied.IN_FORCE) {
      core.ranksChanged(at);
    }
  }

  /** Applies changes of the discovery list. */
  public void upstreamsChanged(long at, RelayEvent.UpstreamsChanged change) {
    final ImmutableSet<UpstreamName> removed = change.removed();
    List<UpstreamState> ended = core.upstreams.update(at, change.changed(), removed, core::report);
    core.streamBuilds.upstreamsChanged(at, change.afterGap());
    core.upstreams.takeOverBackoffs(at, change, ended);
    core.streamBuilds.restarted(at, change, ended);
    ended.forEach(s -> core.crashGuard.incarnationEnded(at, s.incarnation(), "restarted"));
    core.upstreams
        .missingWithoutNotice(removed)
        .forEach(s -> core.crashGuard.incarnationEnded(at, s.incarnation(), "missing"));
    core.endedIncarnations.end(at, ended);
    core.upstreams.removeMissing(at, core::report);
    core.evacuation.scheduleEvacuations(at);
    core.paths.upstreamsChanged(at);
    core.streamBuilds.failHopelessCalls(at);
    core.reservations.placePending(at);
  }

  /** Merges the load report of another node. */
  public void loadReceived(
      long at,
      HostName node,
      ImmutableMap<UpstreamIncarnation, Long> loads,
      ImmutableSet<UpstreamIncarnation> losingHandles) {
    mergeLoads(at, node, loads, losingHandles);
    dropUnresponsive(at);
    core.reservations.loadChanged(at);
  }

  private void mergeLoads(
      long at,
      HostName node,
      ImmutableMap<UpstreamIncarnation, Long> loads,
      ImmutableSet<UpstreamIncarnation> losingHandles) {
    core.upstreams.loads().receive(at, node, loads);
    losingHandles.forEach(id -> core.upstreams.find(id).ifPresent(s -> s.handleLossReported(at)));
  }

  /**
   * Merges reports of other nodes that arrived together, with one placement of the waiting calls
   * for all of them.
   */
  public void reportsReceived(long at, ImmutableList<NodeReport> reports) {
    for (NodeReport r : reports) {
      mergeLoads(at, r.node(), r.loads(), r.losingHandles());
      r.requests()
          .ifPresent(
              requests ->
                  core.reservations.replaceRequests(at, r.node(), r.dataCentre(), requests));
    }
    dropUnresponsive(at);
    if (reports.stream().anyMatch(r -> r.requests().isPresent())) {
      core.reservations.placePending(at);
    } else {
      core.reservations.loadChanged(at);
    }
  }

  private void dropUnresponsive(long at) {
    core.upstreams.loads().dropUnresponsive(at);
    core.reservations.dropUnresponsive(at);
  }

  /** Sets how memory is reserved from now on. */
  public void reservationModeChanged(long at, ReservationMode mode) {
    core.reservations.setMode(at, mode);
  }

  /** Returns the reservation requests to send to the reservation coordinator. */
  public ImmutableList<ReservationRequest> reservationRequests(long at) {
    return core.reservations.requests(at);
  }

  /** Returns the upstreams of a service that this node would not choose now for any call. */
  public ImmutableSet<UpstreamIncarnation> notEligibleUpstreams(long at, ServiceName service) {
    return core.reservations.notEligible(at, service);
  }

  /** Handles the reservation requests of another node. */
  public void reservationsRequested(
      long at,
      HostName node,
      DataCentreName dataCentre,
      ImmutableList<ReservationRequest> requests) {
    core.reservations.requested(at, node, dataCentre, requests);
  }

  /** Handles a reservation that the coordinator granted to a call of this node. */
  public void reservationGranted(
      long at,
      RequestId call,
      UpstreamIncarnation reservedUpstream,
      Optional<UpstreamIncarnation> prefillUpstream) {
    core.openCalls
        .find(call)
        .ifPresent(c -> core.reservations.granted(at, c, reservedUpstream, prefillUpstream));
  }

  /** Handles the rejection of a call of this node by the coordinator. */
  public void reservationRejected(long at, RequestId call, long retryAfterMillis) {
    core.openCalls
        .find(call)
        .ifPresent(c -> core.reservations.waits().rejected(at, c, retryAfterMillis));
  }

  /** Handles the services for which the coordinator has a forecast. */
  public void forecastsReceived(long at, ImmutableSet<ServiceName> services) {
    core.reservations.waits().overload().forecastsReceived(at, services);
  }

  /** Returns the services for which this node, as the coordinator, has a forecast. */
  public ImmutableSet<ServiceName> forecastServices(long at) {
    return core.reservations.waits().overload().forecastServices(at);
  }

  /**
   * Keeps new work off an upstream that was ordered to change, by reserving all its memory for at
   * most {@code maxNanos}.
   */
  public void ordered(long at, UpstreamIncarnation incarnation, long maxNanos) {
    Optional<UpstreamState> found = core.upstreams.find(incarnation);
    if (core.admission.configuration() == null || found.isEmpty()) {
      return;
    }
    UpstreamState s = found.get();
    s.ordered(core.bounds(s.upstream().service()).memoryTokens());
    core.timers.add(new Timers.Timer.OrderTimeout(at + maxNanos, incarnation));
  }

  /** Handles the end or the refusal of an order. */
  public void orderEnded(long at, UpstreamIncarnation incarnation) {
    core.upstreams.find(incarnation).ifPresent(UpstreamState::orderEnded);
    core.reservations.placePending(at);
  }

  /**
   * Starts draining: refuses the calls that wait for a reservation, and from now on each call that
   * needs one, so that they are sent to another node.
   */
  public void drain(long at) {
    core.heldArrivals.close();
    core.heldArrivals.removeAll().forEach(a -> core.admission.refuseNotReady(a.call()));
    core.dispatch.drain();
    core.reservations.waits().drain(at);
  }

  /**
   * Sets the number of nodes among which the slack of the retry budget and the quotas are divided.
   */
  public void nodesCounted(long at, int count) {
    core.retryBudget.nodes(at, count);
    core.paths.setNodes(count);
    core.heldQuotas.nodes(at, count);
    core.upstreams.speeds().nodes(count);
  }

  /** Records that the number of nodes is not known until their list has been read. */
  public void nodesUnknown(long at) {
    core.retryBudget.nodesKnown(at, false);
    core.heldQuotas.nodesKnown(at, false);
  }

  /** Records that the list of all nodes has been read. */
  public void nodesListed(long at) {
    core.retryBudget.nodesKnown(at, true);
    core.heldQuotas.nodesKnown(at, true);
  }

  /** Handles the arrival of a call. */
  public void arrived(long at, RelayCall call) {
    if (!core.admission.isInDoubt(at) || !core.heldArrivals.hold(at, call)) {
      core.admission.admit(at, at, call).ifPresent(c -> admitted(at, c));
    }
  }

  /** Admits the calls that were held while the state was in doubt, if it no longer is. */
  private void admitHeld(long at) {
    if (core.heldArrivals.size() == 0 || core.admission.isInDoubt(at)) {
      return;
    }
    List<HeldArrivals.Arrival> arrivals = core.heldArrivals.removeAll();
    core.report(new RelayFact.HeldCallsAdmitted(arrivals.size(), at - arrivals.getFirst().at()));
    for (HeldArrivals.Arrival a : arrivals) {
      core.admission.admit(at, a.at(), a.call()).ifPresent(c -> admitted(at, c));
    }
  }

  private void refuseHeld(RequestId id) {
    RelayCall call = core.heldArrivals.remove(id);
    if (call != null) {
      core.admission.refuseNotReady(call);
    }
  }

  private void admitted(long at, CallState c) {
    core.openCalls.add(c);
    core.timers.add(new Timers.Timer.Deadline(c.deadline, c.call.id()));
    if (c.rule.kind() == CallKind.RESUMABLE_STREAM) {
      c.servedBuilds = core.streamBuilds.builds(at, c.service);
    }
    if (core.resumedStreams.admit(at, c)) {
      core.quotas.admit(at, c);
    }
  }

  /** Handles another node's word of the build that began a stream. */
  public void streamRecorded(long at, StreamBuild stream) {
    core.streamBuilds.recorded(at, stream);
  }

  /** Handles the answer of other nodes to the question which build began a stream. */
  public void streamFound(long at, StreamId stream, StreamFinding finding) {
    core.resumedStreams.found(at, stream, finding);
  }

  /**
   * Reads the discovery list again if it was not read a moment ago, and the history of builds if
   * this node does not know it.
   */
  public void listDoubted(long at) {
    core.listConfirmation.request(at);
    if (core.streamBuilds.lacksHistory(at)) {
      core.buildHistory.request(at);
    }
  }

  /** Handles that builds of a service were recorded in the store. */
  public void buildsRecorded(long at, ServiceName service, ImmutableSet<BuildName> builds) {
    if (core.streamBuilds.buildsRecorded(service, builds)) {
      core.reservations.placePending(at);
    }
  }

  /** Handles the answer to a request to read the history of builds. */
  public void buildHistoryRead(long at, RelayEvent.BuildHistoryRead read) {
    if (core.buildHistory.ended(at, read.number(), read.history().isPresent())) {
      core.streamBuilds.remember(at, read.history().orElseThrow(), read.streams());
    }
    core.resumedStreams.reconsider(at);
  }

  /** Handles the answer to a request to read the discovery list again. */
  public void upstreamsConfirmed(long at, long number) {
    if (core.listConfirmation.confirmed(number)) {
      core.resumedStreams.listConfirmed(at);
    }
  }

  /** Returns whether this node does not know which builds have served a service before. */
  public boolean lacksHistory(long at, ServiceName service) {
    return core.streamBuilds.lacksHistory(at, service);
  }

  /** Returns whether the discovery list was complete a moment ago. */
  public boolean isListFresh(long at) {
    return core.listConfirmation.isCompleteAt(at);
  }

  /** Returns what this node knows of the build that began a stream. */
  public StreamLookup streamLookup(long at, StreamId stream, ServiceName service) {
    return core.streamBuilds.lookup(at, stream, service);
  }

  // Notices of upstreams about themselves.

  /** Handles a notice that an upstream's answer carries about the upstream itself. */
  public void noticed(
      long at, UpstreamIncarnation incarnation, long sentAt, UpstreamNotice notice) {
    core.upstreams.find(incarnation).ifPresent(s -> noticed(at, s, sentAt, notice));
  }

  private void noticed(long at, UpstreamState s, long sentAt, UpstreamNotice notice) {
    if (core.upstreams.rateLimits().applyNotice(at, s, sentAt, notice.rate())) {
      rateLimitEnded(at);
    }
    if (notice.leaving() && core.upstreams.markLeaving(s, core::report)) {
      core.evacuation.scheduleEvacuations(at);
    }
    if (notice.backoffNanos() > 0) {
      s.backOff(at, sentAt, notice.backoffNanos());
      core.timers.add(new Timers.Timer.PlacementRetry(s.backoffUntil()));
      core.report(new RelayFact.BackoffRequested(s.upstream().name(), notice.backoffNanos()));
    }
  }

  /** Returns the rate limits of upstreams and this node's usage of each. */
  public ImmutableList<RateLimitUsage> rateLimitUsages(long at) {
    return core.upstreams.rateLimits().usages(at);
  }

  // Speeds of engines.

  /** Adds the measurements of another node. */
  public void speedSamplesReceived(long at, ImmutableList<SpeedSample> samples) {
    core.upstreams.speeds().samplesReceived(at, samples);
  }

  /** Replaces the speeds that the reservation coordinator reported. */
  public void speedsReceived(long at, ImmutableList<UpstreamSpeed> speeds) {
    core.upstreams.speeds().speedsReceived(at, speeds);
  }

  /** Returns the measurements to send to the reservation coordinator and its standby. */
  public ImmutableList<SpeedSample> takeSpeedSamples(long at) {
    return core.upstreams.speeds().takeSamples(at);
  }

  /** Returns the speeds to send to other nodes, this node being the reservation coordinator. */
  public ImmutableList<UpstreamSpeed> speeds(long at) {
    return core.upstreams.speeds().speeds(at);
  }

  /**
   * Returns whether an upstream has a rate limit, or had one a moment ago, so that each of its
   * answers counts.
   */
  public boolean isRateLimited(UpstreamIncarnation incarnation) {
    return core.upstreams.rateLimits().isLimited(incarnation);
  }

  /** Merges the rate limit reports of other nodes. */
  public void rateLimitReportsReceived(long at, ImmutableList<RateLimitReport> reports) {
    if (core.upstreams.rateLimits().merge(at, reports)) {
      rateLimitEnded(at);
    }
  }

  private void rateLimitEnded(long at) {
    core.permits.granted(at);
    core.reservations.placePending(at);
  }

  /** Returns the rate limit reports to send to other nodes. */
  public ImmutableList<RateLimitReport> rateLimitReports(long at) {
    return core.upstreams.rateLimits().reports(at);
  }

  /**
   * Returns whether an incarnation of an upstream is neither leaving nor in backoff; true for an
   * unknown one.
   */
  public boolean acceptsRequests(long at, UpstreamIncarnation incarnation) {
    return core.upstreams.find(incarnation).map(s -> s.acceptsRequests(at)).orElse(true);
  }

  // Requests and parts of prompts that are suspected of crashing upstreams.

  /** Handles the result of a probe of an upstream. */
  public void probed(
      long at, UpstreamIncarnation incarnation, UpstreamPath path, ProbeResult result) {
    core.report(new RelayFact.Probed(incarnation, path, result));
    boolean isProof = path == UpstreamPath.TUNNEL || !core.paths.hasPeers();
    core.crashGuard.probed(at, incarnation, result, isProof);
    core.paths.probed(at, incarnation, path, result);
  }

  /** Returns the path by which requests to an incarnation are sent now. */
  public UpstreamPath path(UpstreamIncarnation incarnation) {
    return core.upstreams.find(incarnation).map(UpstreamState::path).orElse(UpstreamPath.DIRECT);
  }

  /** Returns the upstreams that this node does not reach directly. */
  public ImmutableSet<UpstreamIncarnation> indirectUpstreams() {
    return core.paths.indirect();
  }

  /** Returns the listed upstream of a name if this node reaches it directly. */
  public Optional<RelayUpstream> directUpstream(UpstreamName name) {
    return core.upstreams
        .find(name)
        .filter(s -> !s.isMissing() && s.reach() == UpstreamState.Reach.DIRECT)
        .map(UpstreamState::upstream);
  }

  /** Returns some other upstreams of the service of an upstream. */
  public ImmutableList<RelayUpstream> siblings(RelayUpstream upstream) {
    return core.paths.siblings(upstream);
  }

  /** Returns the suspects of crashes to report to other nodes. */
  public ImmutableList<CrashSuspect> suspects(long at) {
    return core.crashGuard.suspects(at);
  }

  /** Returns the remaining quarantine of a suspect in nanoseconds; 0 if it is not quarantined. */
  public long remainingQuarantineNanos(long at, Fingerprint suspect) {
    return core.crashGuard.remainingNanos(at, suspect);
  }

  /** Merges the suspects that another node reports. */
  public void suspectsReceived(long at, ImmutableList<CrashSuspect> suspects) {
    core.crashGuard.merge(at, suspects);
  }

  /** Releases a suspect from quarantine, as ordered by an operator. */
  public void released(long at, Fingerprint suspect) {
    core.crashGuard.released(at, suspect);
  }

  // Moves: runs at leaving upstreams continue elsewhere with their memory.

  /** Handles the result of a step of a move. */
  public void moved(long at, AttemptId id, MoveResult result) {
    core.evacuation.moved(at, id, result);
  }

  // Quotas.

  /** Handles a grant of the quota coordinator. */
  public void quotaGranted(long at, QuotaGrant grant) {
    core.quotas.granted(at, grant);
  }

  /** Handles a change of the quota coordinator. */
  public void quotaCoordinatorChanged(long at) {
    core.quotas.coordinatorChanged(at);
  }

  /**
   * Returns the request to send to the quota coordinator now; empty if none is due.
   *
   * @param at now
   * @param heartbeat whether a request is due in any case while there are quotas
   */
  public Optional<QuotaRequest> quotaRequest(long at, boolean heartbeat) {
    return core.quotas.request(at, heartbeat);
  }

  /** Returns whether calls wait for tokens of their quotas. */
  public boolean awaitsQuota() {
    return core.quotas.hasWaiting();
  }

  /** Returns the limit of a quota; empty if there is no such workspace or upstream. */
  public Optional<TokenLimit> quotaLimit(QuotaKey key) {
    return core.quotas.limit(key);
  }

  /** Abandons a call whose caller has gone. */
  public void callerLeft(long at, RequestId id) {
    core.heldArrivals.remove(id);
    core.openCalls.find(id).ifPresent(c -> callerLeft(at, c));
  }

  private void callerLeft(long at, CallState c) {
    core.report(new RelayFact.CallerLeft(c.call.wireId(), c.rule.name().value(), at - c.arrivedAt));
    core.openCalls.cancelAttempt(at, c);
    core.openCalls.remove(c);
    core.reservations.placePending(at);
  }

  /**
   * Handles a resume of the machine after a suspension, before anything is sent: calls whose
   * deadline has passed end, and outdated reports of other nodes are dropped.
   */
  public void resumed(long at, long suspendedNanos) {
    core.report(new RelayFact.Resumed(suspendedNanos));
    core.quotas.resumed(at);
    ticked(at);
  }

  /** Handles the end of a time in which the event loop was held up. */
  public void stalled(long at, long nanos) {
    core.report(new RelayFact.LoopStalled(nanos));
    if (core.admission.configuration() != null) {
      core.confirmation.stalled(at, nanos);
    }
  }

  /** Handles the answer to a request to read the state of the store again. */
  public void stateConfirmed(long at, long number) {
    core.confirmation.confirmed(at, number);
    admitHeld(at);
  }

  /** Sets whether other nodes know of a newer configuration. */
  public void configurationBehind(long at, boolean behind) {
    core.confirmation.setBehind(at, behind);
    admitHeld(at);
  }

  /** Handles all timers that are due. */
  public void ticked(long at) {
    dropUnresponsive(at);
    for (Timers.Timer due = core.timers.poll(at); due != null; due = core.timers.poll(at)) {
      switch (due) {
        case Timers.Timer.Deadline d ->
            core.openCalls.find(d.call()).ifPresent(c -> deadlineReached(at, c));
        case Timers.Timer.OverloadReview t -> core.reservations.review(at);
        case Timers.Timer.PlacementRetry t -> core.reservations.retryPlacement(at);
        case Timers.Timer.ReservationTimeout r ->
            core.openCalls.find(r.call()).ifPresent(c -> core.reservations.waitTimedOut(at, c));
        case Timers.Timer.EvacuationStart e -> core.evacuation.moveRuns(at, e.incarnation());
        case Timers.Timer.ConfirmationTimeout c -> {
          core.confirmation.timedOut(at, c.number());
          admitHeld(at);
        }
        case Timers.Timer.HoldTimeout h -> refuseHeld(h.call());
        case Timers.Timer.ConfirmationOverdue c -> core.confirmation.ageReached(at);
        case Timers.Timer.StreamLookupTimeout l -> core.resumedStreams.timedOut(at, l);
        case Timers.Timer.BuildReview r -> core.streamBuilds.review(at, r.service());
        case Timers.Timer.BuildRecordTimeout r -> {
          if (core.streamBuilds.recordTimedOut(r.service())) {
            core.reservations.placePending(at);
          }
        }
        case Timers.Timer.OrderTimeout o -> orderEnded(at, o.incarnation());
        case Timers.Timer.MoveTimeout m -> core.evacuation.stopTimedOut(at, m.attempt());
        case Timers.Timer.QuotaTimeout q ->
            core.openCalls.find(q.call()).ifPresent(c -> core.quotas.waitTimedOut(at, c));
        case Timers.Timer.EarlyRefusalsReport r -> core.earlyQuotaRefusals.report(r.workspace());
        case Timers.Timer.PermitTimeout p ->
            core.openCalls.find(p.call()).ifPresent(c -> core.permits.waitEnded(at, c));
        case Timers.Timer.AttemptTimeout p -> core.outcomes.timedOut(at, p.attempt());
        case Timers.Timer.SilenceCheck s ->
            core.attempts.find(s.attempt()).ifPresent(a -> core.paths.checkSilence(at, a));
        case Timers.Timer.DirectPathCheck d ->
            core.upstreams.find(d.incarnation()).ifPresent(core.paths::probeDirect);
      }
    }
  }

  private void deadlineReached(long at, CallState c) {
    AttemptState a = c.attempt;
    core.openCalls.cancelAttempt(at, c);
    if (a != null) {
      core.attempts.reportFailed(a, "DEADLINE", true);
    }
    core.openCalls.failPastDeadline(at, c);
  }
}
