/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router;

import org.larkkeel.call.Call;
import org.larkkeel.config.Configuration;
import org.larkkeel.effect.EffectSink;
import org.larkkeel.effect.Fact;
import org.larkkeel.event.Event;
import org.larkkeel.event.Exposure;
import org.larkkeel.event.LoadReport;
import org.larkkeel.lib.Revision;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.router.internal.Attempt;
import org.larkkeel.router.internal.AttemptTable.FormerAttempt;
import org.larkkeel.router.internal.Core;
import org.larkkeel.router.internal.RequestState;
import org.larkkeel.router.internal.Route;
import org.larkkeel.router.internal.StatusView;
import org.larkkeel.router.internal.UpstreamState;

/**
 * The reducer of a node: applies every event to the state and emits the effects that follow.
 *
 * <p>Uses no clock, thread, socket, external random source or logger: events carry the time, and
 * random choices follow the seed, so the same events produce the same effects. Invariants: each
 * request that arrived gets exactly one last effect ({@code Complete}, {@code Replay}, {@code
 * Refuse} or {@code Forget}), and no state of the request is kept after it. Not safe for use by
 * several threads.
 *
 * @since 0.1
 */
public final class Router {
  private final Core core;
  private final StatusView view;
  private Revision revision = Revision.NONE;

  /**
   * Creates a router without upstreams and rules.
   *
   * @param settings the settings, not null
   * @param seed the seed of every random choice
   */
  public Router(RouterSettings settings, long seed) {
    core = new Core(settings, seed);
    view = new StatusView(core);
  }

  /**
   * Applies an event and emits the resulting effects.
   *
   * @param event the event; its time must not be before that of the previous event
   * @param sink receives the effects, in order
   */
  public void apply(Event event, EffectSink sink) {
    core.context.begin(event.at(), sink);
    core.context.timers().fireDue(core.context.now());
    handle(event);
    core.slotDemand.start();
    core.dispatcher.run();
    core.context.end();
  }

  /**
   * Explains where a request would be placed and why, without placing it; emits no effects.
   *
   * @param call the request
   * @return the explanation
   */
  public Explanation explain(Call call) {
    return view.explain(call);
  }

  /**
   * Returns the current status of the router.
   *
   * @return an immutable snapshot
   */
  public RouterStatus status() {
    return view.status(revision);
  }

  private void handle(Event event) {
    switch (event) {
      case Event.RequestArrived arrived -> core.arrivals.arrive(arrived.call());
      case Event.CallerGone gone -> callerGone(gone);
      case Event.OfAttempt ofAttempt -> handleAttempt(ofAttempt);
      case Event.LoadReported reported -> loadReported(reported.upstream(), reported.report());
      case Event.LoadUnavailable unavailable -> loadUnavailable(unavailable.upstream());
      case Event.CacheChanged changed -> cacheChanged(changed);
      case Event.ConfigurationAccepted accepted -> configure(accepted.configuration());
      case Event.PeersChanged peers -> core.upstreams.setNodeCount(peers.live().size());
      case Event.SlotsGranted granted -> slotsGranted(granted);
      case Event.LimitGranted granted ->
          core.limiter.granted(granted.workspace(), granted.share(), granted.until());
      case Event.StopRequested stop -> core.arrivals.drain();
      case Event.Ticked tick -> {}
    }
  }

  private void handleAttempt(Event.OfAttempt event) {
    if (event instanceof Event.CancelSettled settled) {
      core.cancels.settled(settled.attempt(), settled.outcome());
      core.decodeFlow.cancelSettled(settled.attempt());
      return;
    }
    Attempt attempt = core.attempts.get(event.attempt());
    if (attempt == null) {
      handleFormer(event);
      return;
    }
    switch (event) {
      case Event.PrefillDone done ->
          core.decodeFlow.prefillDone(attempt, done.kvBytes(), done.cachedTokens());
      case Event.TransferDone done -> core.decodeFlow.transferDone(attempt);
      case Event.FirstToken first -> core.decodeFlow.firstToken(attempt);
      case Event.DecodeDone done -> core.decodeFlow.decodeDone(attempt, done.tokens());
      case Event.PlainDone done -> core.plainFlow.done(attempt);
      case Event.AttemptFailed failed ->
          core.failures.failed(attempt, failed.cause(), failed.exposure(), failed.tokens());
      case Event.ClaimSettled settled -> core.claims.settled(attempt, settled.outcome());
      case Event.RecordSettled settled -> core.endings.recorded(attempt, settled.outcome());
      case Event.CancelSettled settled ->
          throw new IllegalStateException(
              "CancelSettled is handled before the attempt is looked up");
    }
  }

  /**
   * Handles an event of an attempt that has ended. Such an event can show that an upstream or a
   * claim is still held for the attempt; that is then cancelled or released.
   */
  private void handleFormer(Event.OfAttempt event) {
    FormerAttempt former = core.attempts.former(event.attempt());
    if (former == null) {
      return;
    }
    switch (event) {
      case Event.PrefillDone done -> cancelFormer(done, former);
      case Event.TransferDone done -> cancelFormer(done, former);
      case Event.FirstToken first -> cancelFormer(first, former);
      case Event.ClaimSettled settled ->
          core.claims.settledLate(settled.attempt(), former, settled.outcome());
      case Event.DecodeDone done -> {}
      case Event.PlainDone done -> {}
      case Event.AttemptFailed failed -> {
        if (failed.exposure() == Exposure.MAY_HAVE_RUN) {
          cancelFormer(failed, former);
        }
      }
      case Event.RecordSettled settled -> {}
      case Event.CancelSettled settled -> {}
    }
  }

  private void cancelFormer(Event.OfAttempt event, FormerAttempt former) {
    if (former.upstream() == null) {
      return;
    }
    core.cancels.cancel(event.attempt(), former.request(), former.upstream());
  }

  private void callerGone(Event.CallerGone gone) {
    RequestState request = core.requests.get(gone.request());
    if (request != null) {
      core.endings.callerGone(request);
    }
  }

  private void loadReported(UpstreamName name, LoadReport report) {
    UpstreamState upstream = core.upstreams.get(name);
    if (upstream == null) {
      return;
    }
    boolean sameModels = upstream.reportsModels(report);
    boolean wasUnresponsive = upstream.isUnresponsive();
    if (upstream.applyReport(report)) {
      core.cancels.restarted(upstream);
      core.upstreams.ejections().restore(upstream);
    } else if (wasUnresponsive) {
      core.upstreams.ejections().restore(upstream);
    }
    if (!sameModels) {
      core.upstreams.modelsChanged(upstream);
    }
    core.upstreams.capacityFreed(upstream);
  }

  private void loadUnavailable(UpstreamName name) {
    UpstreamState upstream = core.upstreams.get(name);
    if (upstream != null) {
      core.upstreams.ejections().queryFailed(upstream);
    }
  }

  private void cacheChanged(Event.CacheChanged event) {
    UpstreamState upstream = core.upstreams.get(event.upstream());
    if (upstream != null) {
      upstream.cache.applyChange(
          event.incarnation(), event.sequence(), event.stored(), event.removed());
    }
  }

  private void slotsGranted(Event.SlotsGranted event) {
    UpstreamState upstream = core.upstreams.get(event.upstream());
    if (upstream != null) {
      upstream.slots.grant(event.slots(), event.until());
      core.upstreams.capacityFreed(upstream);
    }
  }

  private void configure(Configuration configuration) {
    if (!configuration.revision().isAfter(revision)) {
      return;
    }
    revision = configuration.revision();
    core.limiter.apply(configuration);
    core.upstreams.apply(configuration);
    for (Route removed : core.routes.apply(configuration)) {
      core.arrivals.reroute(removed);
    }
    for (Route withoutUpstreams : core.routes.interactiveWithoutUpstreams()) {
      core.arrivals.reroute(withoutUpstreams);
    }
    core.predictor.retainDeclaredModels(core.upstreams);
    core.context.report(new Fact.InForce(revision));
  }
}
