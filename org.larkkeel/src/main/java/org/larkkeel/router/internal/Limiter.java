/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

import java.util.HashMap;
import java.util.Map;
import org.larkkeel.call.Call;
import org.larkkeel.config.Configuration;
import org.larkkeel.config.Limits;
import org.larkkeel.config.Workspace;
import org.larkkeel.effect.Effect;
import org.larkkeel.event.LimitShare;
import org.larkkeel.lib.WorkspaceName;

/**
 * The limits of workspaces, held by this node's share of each.
 *
 * <p>Without a valid grant the share is an equal part of the limit. Invariant: only workspaces with
 * a limit that were active lately are kept. Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class Limiter {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final long CONCURRENCY_RETRY_NANOS = 1_000_000_000L;
  private static final int IDLE_PERIODS = 10;
  private static final double DEMAND_STEP = 0.3;
  private static final double CHANGE_WORTH_TELLING = 0.1;

  private static final class Share {
    final WorkspaceName workspace;
    Limits limits;
    final ShareBucket requests = new ShareBucket();
    final ShareBucket tokens = new ShareBucket();
    LimitShare granted;
    long grantedUntil;
    int running;
    int refusedForConcurrency;
    int arrived;
    long arrivedTokens;
    double requestRate;
    double tokenRate;
    double toldRate;
    int toldConcurrency;
    int idlePeriods;

    Share(WorkspaceName workspace, Limits limits) {
      this.workspace = workspace;
      this.limits = limits;
    }
  }

  private final Context context;
  private final Fleet fleet;
  private final Timer timer;
  private final Map<WorkspaceName, Share> shares = new HashMap<>();
  private Configuration current = Configuration.EMPTY;

  /**
   * Creates a limiter without limits.
   *
   * @param context what the parts of the router share
   * @param fleet tells the number of nodes
   */
  public Limiter(Context context, Fleet fleet) {
    this.context = context;
    this.fleet = fleet;
    this.timer = new Timer(this::tell);
  }

  /**
   * Takes a configuration.
   *
   * @param next the configuration
   */
  public void apply(Configuration next) {
    current = next;
    for (Share share : shares.values()) {
      share.limits = limitsOf(share.workspace);
    }
  }

  /**
   * Takes this node's share of the limits of a workspace.
   *
   * @param workspace the workspace
   * @param granted the share
   * @param until its end
   */
  public void granted(WorkspaceName workspace, LimitShare granted, long until) {
    Share share = shares.get(workspace);
    if (share != null) {
      share.granted = granted;
      share.grantedUntil = until;
    }
  }

  /**
   * Counts a request and takes it from the limits of its workspace if they allow it.
   *
   * @param call the request
   * @return 0 if it is accepted, otherwise nanoseconds after which it may be
   */
  public long acquire(Call call) {
    Share share = shareOf(call.workspace());
    if (share == null) {
      return 0;
    }
    share.arrived++;
    share.arrivedTokens += call.promptTokens();
    long wait = waitFor(share, call.promptTokens());
    if (wait > 0) {
      return wait;
    }
    share.requests.take(1);
    share.tokens.take(call.promptTokens());
    share.running++;
    return 0;
  }

  /**
   * Counts the end of a request that was accepted.
   *
   * @param call the request
   */
  public void release(Call call) {
    Share share = shares.get(call.workspace());
    if (share != null && share.running > 0) {
      share.running--;
    }
  }

  /**
   * The number of workspaces kept.
   *
   * @return a count
   */
  public int size() {
    return shares.size();
  }

  private Share shareOf(WorkspaceName workspace) {
    Share share = shares.get(workspace);
    if (share != null) {
      return share;
    }
    Limits limits = limitsOf(workspace);
    if (limits.equals(Limits.NONE)) {
      return null;
    }
    share = new Share(workspace, limits);
    shares.put(workspace, share);
    if (!timer.isSet()) {
      context.timers().set(timer, context.now() + context.settings().wantNanos());
    }
    return share;
  }

  private Limits limitsOf(WorkspaceName name) {
    Workspace workspace = current.workspaces().get(name);
    return workspace == null ? Limits.NONE : workspace.limits();
  }

  private long waitFor(Share share, int promptTokens) {
    long now = context.now();
    LimitShare part = partOf(share);
    Limits limits = share.limits;
    if (limits.concurrency() > 0 && share.running >= part.concurrency()) {
      share.refusedForConcurrency++;
      return CONCURRENCY_RETRY_NANOS;
    }
    long wait = 0;
    if (limits.requestsPerSecond() > 0) {
      share.requests.setRate(now, part.requestsPerSecond());
      wait = share.requests.waitFor(now, 1);
    }
    if (limits.promptTokensPerSecond() > 0) {
      share.tokens.setRate(now, part.promptTokensPerSecond());
      wait = Math.max(wait, share.tokens.waitFor(now, promptTokens));
    }
    return wait;
  }

  private LimitShare partOf(Share share) {
    if (share.granted != null && context.now() < share.grantedUntil) {
      return share.granted;
    }
    Limits limits = share.limits;
    double nodes = fleet.nodes();
    return new LimitShare(
        limits.requestsPerSecond() / nodes,
        limits.promptTokensPerSecond() / nodes,
        (int) Math.max(1, limits.concurrency() / nodes));
  }

  private void tell() {
    double seconds = context.settings().wantNanos() / NANOS_PER_SECOND;
    for (Share share : shares.values()) {
      measure(share, seconds);
      if (isWorthTelling(share)) {
        share.toldRate = share.requestRate;
        share.toldConcurrency = wantedConcurrency(share);
        context.emit(
            new Effect.WantLimit(
                share.workspace, share.requestRate, share.tokenRate, share.toldConcurrency));
      }
      share.refusedForConcurrency = 0;
    }
    shares.values().removeIf(s -> s.idlePeriods > IDLE_PERIODS || s.limits.equals(Limits.NONE));
    if (!shares.isEmpty()) {
      context.timers().set(timer, context.now() + context.settings().wantNanos());
    }
  }

  private static void measure(Share share, double seconds) {
    share.requestRate += DEMAND_STEP * (share.arrived / seconds - share.requestRate);
    share.tokenRate += DEMAND_STEP * (share.arrivedTokens / seconds - share.tokenRate);
    boolean idle = share.arrived == 0 && share.running == 0;
    share.idlePeriods = idle ? share.idlePeriods + 1 : 0;
    share.arrived = 0;
    share.arrivedTokens = 0;
  }

  private boolean isWorthTelling(Share share) {
    if (share.idlePeriods > IDLE_PERIODS) {
      return false;
    }
    boolean expires = share.grantedUntil - context.now() < 2 * context.settings().wantNanos();
    double change = Math.abs(share.requestRate - share.toldRate);
    return expires
        || change > CHANGE_WORTH_TELLING * share.toldRate
        || wantedConcurrency(share) != share.toldConcurrency;
  }

  private static int wantedConcurrency(Share share) {
    return share.running + share.refusedForConcurrency;
  }
}
