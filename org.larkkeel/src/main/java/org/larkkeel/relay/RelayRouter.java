/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import java.util.function.Consumer;
import org.larkkeel.balance.SpeedSample;
import org.larkkeel.balance.UpstreamSpeed;
import org.larkkeel.lib.Fingerprint;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.quota.QuotaKey;
import org.larkkeel.quota.QuotaRequest;
import org.larkkeel.quota.QuotaTolerance;
import org.larkkeel.quota.TokenLimit;
import org.larkkeel.relay.internal.EventHandler;

/**
 * The reducer of the relay: applies events in order and emits the resulting effects.
 *
 * <p>It reads no clock, uses no thread or socket, and draws random numbers only from its seed, so
 * the same events produce the same effects. Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class RelayRouter {
  private final EventHandler eventHandler;
  private final QuotaTolerance tolerance;

  /** Creates a router without a configuration and without upstreams. */
  public RelayRouter(RelaySettings settings) {
    this.eventHandler = new EventHandler(settings);
    this.tolerance = settings.tolerance();
  }

  /**
   * Applies an event.
   *
   * @param event the event; its time is not before that of the previous event
   * @param effects receives the resulting effects, in order
   */
  public void apply(RelayEvent event, Consumer<RelayEffect> effects) {
    eventHandler.setEffectSink(effects);
    long at = event.at();
    eventHandler.startedBy(at);
    switch (event) {
      case RelayEvent.Arrived e -> eventHandler.arrived(at, e.call());
      case RelayEvent.CallerLeft e -> eventHandler.callerLeft(at, e.call());
      case RelayEvent.PromptRead e ->
          eventHandler.outcomes().promptRead(at, e.attempt(), e.handle());
      case RelayEvent.Began e -> eventHandler.outcomes().began(at, e.attempt());
      case RelayEvent.Progressed e ->
          eventHandler.outcomes().progressed(at, e.attempt(), e.events());
      case RelayEvent.Answered e -> eventHandler.outcomes().answered(at, e.attempt(), e.grade());
      case RelayEvent.Refused e -> eventHandler.outcomes().refused(at, e.attempt(), e.cause());
      case RelayEvent.Lost e -> eventHandler.outcomes().lost(at, e.attempt(), e.cause());
      case RelayEvent.Moved e -> eventHandler.moved(at, e.attempt(), e.result());
      case RelayEvent.UpstreamsChanged e -> eventHandler.upstreamsChanged(at, e);
      case RelayEvent.Ordered e -> eventHandler.ordered(at, e.upstream(), e.maxNanos());
      case RelayEvent.OrderRefused e -> eventHandler.orderEnded(at, e.upstream());
      case RelayEvent.ConfigurationRead e -> eventHandler.configurationRead(at, e.configuration());
      case RelayEvent.LoadHeard e ->
          eventHandler.loadReceived(at, e.node(), e.loads(), e.losingHandles());
      case RelayEvent.ReportsHeard e -> eventHandler.reportsReceived(at, e.reports());
      case RelayEvent.RoomAsked e ->
          eventHandler.reservationsRequested(at, e.node(), e.dataCentre(), e.requests());
      case RelayEvent.RoomGranted e ->
          eventHandler.reservationGranted(at, e.call(), e.reservedUpstream(), e.prefillUpstream());
      case RelayEvent.RoomRejected e ->
          eventHandler.reservationRejected(at, e.call(), e.retryAfterMillis());
      case RelayEvent.ForecastsHeard e -> eventHandler.forecastsReceived(at, e.services());
      case RelayEvent.Noticed e -> eventHandler.noticed(at, e.upstream(), e.sentAt(), e.notice());
      case RelayEvent.RatesHeard e -> eventHandler.rateLimitReportsReceived(at, e.reports());
      case RelayEvent.Probed e -> eventHandler.probed(at, e.upstream(), e.path(), e.result());
      case RelayEvent.SuspectsHeard e -> eventHandler.suspectsReceived(at, e.suspects());
      case RelayEvent.Released e -> eventHandler.released(at, e.request());
      case RelayEvent.KeepingChanged e -> eventHandler.reservationModeChanged(at, e.mode());
      case RelayEvent.SpeedSamplesHeard e -> eventHandler.speedSamplesReceived(at, e.samples());
      case RelayEvent.SpeedsHeard e -> eventHandler.speedsReceived(at, e.speeds());
      case RelayEvent.NodesCounted e -> eventHandler.nodesCounted(at, e.nodes());
      case RelayEvent.NodesUnknown e -> eventHandler.nodesUnknown(at);
      case RelayEvent.NodesListed e -> eventHandler.nodesListed(at);
      case RelayEvent.QuotaGranted e -> eventHandler.quotaGranted(at, e.grant());
      case RelayEvent.RefusedEarly e ->
          eventHandler.earlyQuotaRefusals().refused(at, e.workspace(), e.tokens());
      case RelayEvent.QuotaCoordinatorChanged e -> eventHandler.quotaCoordinatorChanged(at);
      case RelayEvent.Draining e -> eventHandler.drain(at);
      case RelayEvent.Resumed e -> eventHandler.resumed(at, e.suspendedNanos());
      case RelayEvent.Stalled e -> eventHandler.stalled(at, e.nanos());
      case RelayEvent.StateConfirmed e -> eventHandler.stateConfirmed(at, e.number());
      case RelayEvent.ConfigurationBehind e -> eventHandler.configurationBehind(at, e.behind());
      case RelayEvent.StreamRecorded e -> eventHandler.streamRecorded(at, e.stream());
      case RelayEvent.StreamFound e -> eventHandler.streamFound(at, e.stream(), e.finding());
      case RelayEvent.ListDoubted e -> eventHandler.listDoubted(at);
      case RelayEvent.UpstreamsConfirmed e -> eventHandler.upstreamsConfirmed(at, e.number());
      case RelayEvent.BuildsRecorded e -> eventHandler.buildsRecorded(at, e.service(), e.builds());
      case RelayEvent.BuildHistoryRead e -> eventHandler.buildHistoryRead(at, e);
      case RelayEvent.Ticked e -> eventHandler.ticked(at);
    }
  }

  /**
   * Returns whether a configuration and the discovery list were received, so that calls can be
   * placed.
   */
  public boolean isReady() {
    return eventHandler.isReady();
  }

  /** Returns what this node knows of the build that began a stream. */
  public StreamLookup streamLookup(long at, StreamId stream, ServiceName service) {
    return eventHandler.streamLookup(at, stream, service);
  }

  /** Returns whether this node does not know which builds have served a service before. */
  public boolean lacksHistory(long at, ServiceName service) {
    return eventHandler.lacksHistory(at, service);
  }

  /** Returns whether this node has read the discovery list from the store a moment ago. */
  public boolean isListFresh(long at) {
    return eventHandler.isListFresh(at);
  }

  /** Returns how often the queue of waiting calls was gone over to place them. */
  public long placementPasses() {
    return eventHandler.placementPasses();
  }

  /** Returns the configuration in force; empty if there is none. */
  public Optional<RelayConfiguration> configuration() {
    return eventHandler.configuration();
  }

  /**
   * Returns this node's load in flight at each upstream where it is not 0: tokens at upstreams that
   * prefill prompts or hold memory, requests at others.
   */
  public ImmutableMap<UpstreamIncarnation, Long> loads() {
    return eventHandler.loads();
  }

  /**
   * Returns the upstreams at which this node recently observed that prefill handles are lost
   * immediately.
   */
  public ImmutableSet<UpstreamIncarnation> losingHandles(long at) {
    return eventHandler.losingHandles(at);
  }

  /**
   * Returns the upstreams that may run calls of a service but that this node would not choose now
   * for any call; {@link #reservationRequests} do not name them.
   */
  public ImmutableSet<UpstreamIncarnation> notEligibleUpstreams(long at, ServiceName service) {
    return eventHandler.notEligibleUpstreams(at, service);
  }

  /** Returns the reservation requests for the coordinator. */
  public ImmutableList<ReservationRequest> reservationRequests(long at) {
    return eventHandler.reservationRequests(at);
  }

  /** Returns the services for which this node, as the coordinator, has a forecast. */
  public ImmutableSet<ServiceName> forecastServices(long at) {
    return eventHandler.forecastServices(at);
  }

  /**
   * Returns whether requests may be sent to an incarnation of an upstream according to its own
   * notices.
   */
  public boolean acceptsRequests(long at, UpstreamIncarnation upstream) {
    return eventHandler.acceptsRequests(at, upstream);
  }

  /** Returns the path by which requests to an incarnation of an upstream are sent now. */
  public UpstreamPath path(UpstreamIncarnation upstream) {
    return eventHandler.path(upstream);
  }

  /** Returns the upstreams that this node does not reach directly, as far as is known. */
  public ImmutableSet<UpstreamIncarnation> indirectUpstreams() {
    return eventHandler.indirectUpstreams();
  }

  /**
   * Returns the listed upstream of a name if this node reaches it directly, as far as is known, so
   * that it may pass on connections of other nodes.
   */
  public Optional<RelayUpstream> directUpstream(UpstreamName name) {
    return eventHandler.directUpstream(name);
  }

  /** Returns some other upstreams of the service of an upstream. */
  public ImmutableList<RelayUpstream> siblings(RelayUpstream upstream) {
    return eventHandler.siblings(upstream);
  }

  /** Returns the rate limits of upstreams and this node's usage of each. */
  public ImmutableList<RateLimitUsage> rateLimitUsages(long at) {
    return eventHandler.rateLimitUsages(at);
  }

  /**
   * Returns whether an upstream has a rate limit, or had one a moment ago, so that each of its
   * answers must be evaluated.
   */
  public boolean isRateLimited(UpstreamIncarnation upstream) {
    return eventHandler.isRateLimited(upstream);
  }

  /** Returns the report to other nodes about the rate limits of upstreams. */
  public ImmutableList<RateLimitReport> rateLimitReports(long at) {
    return eventHandler.rateLimitReports(at);
  }

  /**
   * Takes the measurements of engines that are to be sent to the reservation coordinator and its
   * standby now; each is returned once.
   */
  public ImmutableList<SpeedSample> takeSpeedSamples(long at) {
    return eventHandler.takeSpeedSamples(at);
  }

  /**
   * Returns the speeds of engines that this node as reservation coordinator sends to all nodes;
   * empty while the engines of each service are of nearly the same speed.
   */
  public ImmutableList<UpstreamSpeed> speeds(long at) {
    return eventHandler.speeds(at);
  }

  /** Returns the suspects of crashes to report to other nodes. */
  public ImmutableList<CrashSuspect> suspects(long at) {
    return eventHandler.suspects(at);
  }

  /** Returns the remaining quarantine of a suspect, in nanoseconds; 0 if it is not quarantined. */
  public long remainingQuarantineNanos(long at, Fingerprint suspect) {
    return eventHandler.remainingQuarantineNanos(at, suspect);
  }

  /**
   * Returns the request to send to the quota coordinator now; empty if none is due.
   *
   * @param at the current time
   * @param heartbeat true if a request is due in any case while there are quotas
   */
  public Optional<QuotaRequest> quotaRequest(long at, boolean heartbeat) {
    return eventHandler.quotaRequest(at, heartbeat);
  }

  /**
   * Returns the refusal of a call whose head was read, if the quota of its workspace is known to be
   * used up; empty if its body is to be read. Whoever answers with it submits {@link
   * RelayEvent.RefusedEarly}.
   *
   * @param at the current time
   * @param host the host that the caller names
   * @param path the path without its query
   * @param size the size that the head declares
   * @param key the key that the head shows
   */
  public Optional<EarlyRefusal> earlyRefusal(
      long at, String host, String path, CallSize size, Optional<CallerKey> key) {
    return eventHandler.earlyQuotaRefusals().check(at, host, path, size, key);
  }

  /** Returns the tolerance by which quotas may be exceeded. */
  public QuotaTolerance quotaTolerance() {
    return tolerance;
  }

  /**
   * Returns whether calls wait for tokens of their quotas, so that quota requests may become due.
   */
  public boolean awaitsQuota() {
    return eventHandler.awaitsQuota();
  }

  /** Returns the limit of a quota; empty if there is no such workspace or upstream. */
  public Optional<TokenLimit> quotaLimit(QuotaKey key) {
    return eventHandler.quotaLimit(key);
  }

  /** Returns the number of known upstreams, including those that are leaving. */
  public int upstreamCount() {
    return eventHandler.upstreamCount();
  }

  /** Returns the number of calls without a final answer. */
  public int inProgress() {
    return eventHandler.inProgress();
  }

  /** Returns the time at which the next tick is due; {@link Long#MAX_VALUE} if none is. */
  public long nextDue() {
    return eventHandler.nextDue();
  }
}
