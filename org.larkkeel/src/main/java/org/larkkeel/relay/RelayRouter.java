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
import org.larkkeel.lib.Fingerprint;
import org.larkkeel.lib.UpstreamLife;
import org.larkkeel.quota.QuotaAsk;
import org.larkkeel.quota.QuotaKey;
import org.larkkeel.quota.QuotaTolerance;
import org.larkkeel.quota.TokenLimit;
import org.larkkeel.relay.internal.Flow;

/**
 * The reducer of the relay: takes events in their order and says what to do.
 *
 * <p>It has no clock, thread, socket or source of chance but its seed, so the same events give the
 * same effects. Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class RelayRouter {
  private final Flow flow;
  private final QuotaTolerance tolerance;

  /** Begins without a configuration and without upstreams. */
  public RelayRouter(RelaySettings settings) {
    this.flow = new Flow(settings);
    this.tolerance = settings.tolerance();
  }

  /**
   * Applies an event.
   *
   * @param event the event; its time is not before that of the last
   * @param effects gets what to do, in order
   */
  public void apply(RelayEvent event, Consumer<RelayEffect> effects) {
    flow.effects(effects);
    long at = event.at();
    switch (event) {
      case RelayEvent.Arrived e -> flow.arrived(at, e.call());
      case RelayEvent.CallerLeft e -> flow.callerLeft(at, e.call());
      case RelayEvent.PromptRead e -> flow.outcomes().promptRead(at, e.attempt(), e.handle());
      case RelayEvent.Began e -> flow.outcomes().began(at, e.attempt());
      case RelayEvent.Progressed e -> flow.outcomes().progressed(e.attempt(), e.events());
      case RelayEvent.Answered e -> flow.outcomes().answered(at, e.attempt(), e.grade());
      case RelayEvent.Refused e -> flow.outcomes().refused(at, e.attempt(), e.cause());
      case RelayEvent.Lost e -> flow.outcomes().lost(at, e.attempt(), e.cause());
      case RelayEvent.Moved e -> flow.moved(at, e.attempt(), e.result());
      case RelayEvent.UpstreamsChanged e -> flow.upstreams(at, e.changed(), e.removed());
      case RelayEvent.Ordered e -> flow.ordered(at, e.upstream(), e.longestNanos());
      case RelayEvent.OrderRefused e -> flow.orderOver(at, e.upstream());
      case RelayEvent.ConfigurationRead e -> flow.read(e.configuration());
      case RelayEvent.LoadHeard e -> flow.heard(at, e.node(), e.loads(), e.lapsing());
      case RelayEvent.RoomAsked e -> flow.roomAsked(at, e.node(), e.place(), e.asks());
      case RelayEvent.RoomGranted e -> flow.roomGranted(at, e.call(), e.home(), e.reader());
      case RelayEvent.Noticed e -> flow.noticed(at, e.upstream(), e.sentAt(), e.notice());
      case RelayEvent.RatesHeard e -> flow.ratesHeard(at, e.words());
      case RelayEvent.Probed e -> flow.probed(at, e.upstream(), e.result());
      case RelayEvent.SuspectsHeard e -> flow.suspectsHeard(at, e.suspects());
      case RelayEvent.Released e -> flow.released(at, e.request());
      case RelayEvent.KeepingChanged e -> flow.keeping(at, e.keeping());
      case RelayEvent.NodesCounted e -> flow.nodes(at, e.nodes());
      case RelayEvent.QuotaGranted e -> flow.quotaGranted(at, e.grant());
      case RelayEvent.QuotaCoordinatorChanged e -> flow.quotaCoordinatorChanged(at);
      case RelayEvent.Draining e -> flow.drain(at);
      case RelayEvent.Resumed e -> flow.resumed(at, e.suspendedNanos());
      case RelayEvent.Ticked e -> flow.ticked(at);
    }
  }

  /** Whether it has a configuration and a list of upstreams, so that it can place calls. */
  public boolean isReady() {
    return flow.isReady();
  }

  /** The configuration in force. */
  public Optional<RelayConfiguration> configuration() {
    return flow.configuration();
  }

  /**
   * What this node has in flight at each upstream, where it is anything: tokens at upstreams that
   * read prompts or hold memory, requests at others.
   */
  public ImmutableMap<UpstreamLife, Long> loads() {
    return flow.loads();
  }

  /** The upstreams whose prompts this node has found to be lost at once. */
  public ImmutableSet<UpstreamLife> lapsing(long at) {
    return flow.lapsing(at);
  }

  /** The calls for which another node is to be asked for room. */
  public ImmutableList<RoomAsk> asks(long at) {
    return flow.asks(at);
  }

  /** Whether requests may be sent to a life of an upstream, as far as it has said itself. */
  public boolean mayReach(long at, UpstreamLife upstream) {
    return flow.mayReach(at, upstream);
  }

  /** The limits that upstreams have, and how much this node has used of each. */
  public ImmutableList<RateUse> rateUses(long at) {
    return flow.rateUses(at);
  }

  /** Whether an upstream limits its requests, so that each of its answers counts. */
  public boolean isRateLimited(UpstreamLife upstream) {
    return flow.isRateLimited(upstream);
  }

  /** What other nodes are to know of the limits of upstreams. */
  public ImmutableList<RateWord> rates(long at) {
    return flow.rates(at);
  }

  /** What other nodes are to know of requests under which upstreams ended. */
  public ImmutableList<Suspect> suspects(long at) {
    return flow.suspects(at);
  }

  /** For how long a request is quarantined still, in nanoseconds; 0 if it is not. */
  public long quarantinedNanos(long at, Fingerprint request) {
    return flow.quarantinedNanos(at, request);
  }

  /**
   * What the coordinator of quotas is to be asked now; empty if nothing is due.
   *
   * @param at now
   * @param heartbeat whether an ask is due in any case while there are quotas
   */
  public Optional<QuotaAsk> quotaAsk(long at, boolean heartbeat) {
    return flow.quotaAsk(at, heartbeat);
  }

  /** By how much quotas may be exceeded. */
  public QuotaTolerance quotaTolerance() {
    return tolerance;
  }

  /** Whether calls wait for tokens of their quotas, so that asks may become due. */
  public boolean awaitsQuota() {
    return flow.awaitsQuota();
  }

  /** The limit of a quota; empty if there is no such workspace or upstream. */
  public Optional<TokenLimit> limit(QuotaKey key) {
    return flow.limit(key);
  }

  /** How many upstreams are known, those included that leave. */
  public int upstreams() {
    return flow.upstreamCount();
  }

  /** The calls without a final answer. */
  public int inProgress() {
    return flow.inProgress();
  }

  /** When a tick is due; {@link Long#MAX_VALUE} if none is. */
  public long nextDue() {
    return flow.nextDue();
  }
}
