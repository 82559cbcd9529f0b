/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

import java.util.HashMap;
import java.util.Map;
import org.larkkeel.lib.RequestId;
import org.larkkeel.router.RouterSettings;

/**
 * Creates the components of one router and connects them.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class Core {
  /** The state that all components share. */
  public final Context context;

  /** The known upstreams. */
  public final UpstreamTable upstreams;

  /** The routes in use. */
  public final Routes routes;

  /** The current and the former attempts. */
  public final AttemptTable attempts = new AttemptTable();

  /** The cancels that are not yet acknowledged. */
  public final CancelTracker cancels;

  /** The limits of workspaces. */
  public final Limiter limiter;

  /** The requests in progress. */
  public final Map<RequestId, RequestState> requests = new HashMap<>();

  /** Predicts the durations of the steps of a request. */
  public final Predictor predictor;

  /** Admits or refuses requests that arrive. */
  public final Arrivals arrivals;

  /** Claims at-most-once runs. */
  public final Claims claims;

  /** Starts requests that wait. */
  public final Dispatcher dispatcher;

  /** Handles completions from the end of the prefill to the last token. */
  public final DecodeFlow decodeFlow;

  /** Handles failed attempts. */
  public final Failures failures;

  /** Handles plain calls. */
  public final PlainFlow plainFlow;

  /** Reports the demand for slots to their owners. */
  public final SlotDemandReporter slotDemand;

  /** Ends requests with their last effect. */
  public final Endings endings;

  final RetryBudget retryBudget;

  /** Chooses upstreams. */
  public final Placement placement;

  final Holdings holdings;
  final Queueing queueing;

  /**
   * Creates the components.
   *
   * @param settings the settings
   * @param seed the seed of every random choice
   */
  public Core(RouterSettings settings, long seed) {
    context = new Context(settings, seed);
    upstreams = new UpstreamTable(context);
    routes = new Routes(context, upstreams);
    cancels = new CancelTracker(context);
    limiter = new Limiter(context, upstreams);
    retryBudget = new RetryBudget(settings.retry());
    predictor = new Predictor(context);
    placement = new Placement(context, upstreams, predictor);
    holdings = new Holdings(this);
    endings = new Endings(this);
    queueing = new Queueing(this);
    arrivals = new Arrivals(this);
    claims = new Claims(this);
    dispatcher = new Dispatcher(this);
    decodeFlow = new DecodeFlow(this);
    failures = new Failures(this);
    plainFlow = new PlainFlow(this);
    slotDemand = new SlotDemandReporter(this);
  }
}
