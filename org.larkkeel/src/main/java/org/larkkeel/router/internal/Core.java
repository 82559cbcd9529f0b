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
 * The parts of one router, wired to each other.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class Core {
  /** What the parts share. */
  public final Context context;

  /** The upstreams. */
  public final Fleet fleet;

  /** The routes. */
  public final Routes routes;

  /** The attempts. */
  public final AttemptTable attempts = new AttemptTable();

  /** The cancels. */
  public final CancelTracker cancels;

  /** The limits of workspaces. */
  public final Limiter limiter;

  /** The requests in progress. */
  public final Map<RequestId, RequestState> requests = new HashMap<>();

  /** Predicts steps. */
  public final Predictor predictor;

  /** Takes requests in. */
  public final Arrivals arrivals;

  /** Claims runs. */
  public final Claims claims;

  /** Serves requests that wait. */
  public final Dispatcher dispatcher;

  /** Follows requests from the prefill to the last token. */
  public final DecodeFlow decodeFlow;

  /** Decides what follows a failure. */
  public final Failures failures;

  /** Follows plain calls. */
  public final PlainFlow plainFlow;

  /** Asks for slots. */
  public final SlotAsker slotAsker;

  /** Ends requests. */
  public final Endings endings;

  final RetryBudget budget;

  /** Chooses upstreams. */
  public final Placement placement;

  final Holdings holdings;
  final Queueing queueing;

  /**
   * Wires the parts.
   *
   * @param settings the settings
   * @param seed the seed of every random choice
   */
  public Core(RouterSettings settings, long seed) {
    context = new Context(settings, seed);
    fleet = new Fleet(context);
    routes = new Routes(context, fleet);
    cancels = new CancelTracker(context);
    limiter = new Limiter(context, fleet);
    budget = new RetryBudget(settings.retry());
    predictor = new Predictor(context);
    placement = new Placement(context, fleet, predictor);
    holdings = new Holdings(this);
    endings = new Endings(this);
    queueing = new Queueing(this);
    arrivals = new Arrivals(this);
    claims = new Claims(this);
    dispatcher = new Dispatcher(this);
    decodeFlow = new DecodeFlow(this);
    failures = new Failures(this);
    plainFlow = new PlainFlow(this);
    slotAsker = new SlotAsker(this);
  }
}
