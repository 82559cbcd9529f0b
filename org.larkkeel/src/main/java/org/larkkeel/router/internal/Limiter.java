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
 * Enforces this node's shares of the limits of workspaces.
 *
 * <p>Without a valid grant the share is an equal part of the limit over the live nodes. Invariant:
 * state is kept only of recently active workspaces with a limit. Not safe for use by several
 * threads.
 *
 * @since 0.1
 */
public final class Limiter {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final long CONCURRENCY_RETRY_AFTER_NANOS = 1_000_000_000L;
  private static final int MAX_IDLE_PERIODS = 10;
  private static final double DEMAND_SMOOTHING = 0.3;
  private static final double MIN_REPORTED_CHANGE = 0.1;

  private static final class Share {
    final WorkspaceName workspace;
    Limits limits;
    final ShareBucket requests = new ShareBucket();
    final ShareBucket tokens = new ShareBucket();
    LimitShare granted;
    long grantedUntil;
    int running;
    int refusedForConcurrency;
    int arrivedRequests;
    long arrivedTokens;
    double requestRate;
    double tokenRate;
    double reportedRequestRate;
    int reportedConcurrency;
    int idlePeriods;

    Share(WorkspaceName workspace, Limits limits) {
      this.workspace = workspace;
      this.limits = limits;
    }
  }

  private final Context context;
  private final UpstreamTable upstreams;
  private final Timer timer;
  private final Map<WorkspaceName, Share> shares = new HashMap<>();
  private Configuration current = Configuration.EMPTY;

  /**
   * Creates a limiter without limits.
   *
   * @param context the shared state of the router
   * @param upstreams the source of the number of live nodes
   */
  public Limiter(Context context, UpstreamTable upstreams) {
    this.context = context;
    this.upstreams = upstreams;
    this.timer = new Timer(this::reportDemand);
  }

  /**
   * Applies a configuration.
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
   * Applies a grant of this node's share of the limits of a workspace.
   *
   * @param workspace the workspace
   * @param granted the share
   * @param until the end of the grant
   */
  public void granted(WorkspaceName workspace, LimitShare granted, long until) {
    Share share = shares.get(workspace);
    if (share != null) {
      share.granted = granted;
      share.grantedUntil = until;
    }
  }

  /**
   * Counts a request and charges it to the limits of its workspace if they allow it.
   *
   * @param call the request
   * @return 0 if the request is accepted, otherwise the nanoseconds after which it may be
   */
  public long acquire(Call call) {
    Share share = shareOf(call.workspace());
    if (share == null) {
      return 0;
    }
    share.arrivedRequests++;
    share.arrivedTokens += call.promptTokens();
    long waitNanos = waitNanosFor(share, call.promptTokens());
    if (waitNanos > 0) {
      return waitNanos;
    }
    share.requests.take(1);
    share.tokens.take(call.promptTokens());
    share.running++;
    return 0;
  }

  /**
   * Records the end of an accepted request.
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
   * Returns the number of workspaces whose state is kept.
   *
   * @return the number
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

  private long waitNanosFor(Share share, int promptTokens) {
    long now = context.now();
    LimitShare currentShare = currentShare(share);
    Limits limits = share.limits;
    if (limits.concurrency() > 0 && share.running >= currentShare.concurrency()) {
      share.refusedForConcurrency++;
      return CONCURRENCY_RETRY_AFTER_NANOS;
    }
    long waitNanos = 0;
    if (limits.requestsPerSecond() > 0) {
      share.requests.setRate(now, currentShare.requestsPerSecond());
      waitNanos = share.requests.waitFor(now, 1);
    }
    if (limits.promptTokensPerSecond() > 0) {
      share.tokens.setRate(now, currentShare.promptTokensPerSecond());
      waitNanos = Math.max(waitNanos, share.tokens.waitFor(now, promptTokens));
    }
    return waitNanos;
  }

  private LimitShare currentShare(Share share) {
    if (share.granted != null && context.now() < share.grantedUntil) {
      return share.granted;
    }
    Limits limits = share.limits;
    double nodes = upstreams.nodeCount();
    return new LimitShare(
        limits.requestsPerSecond() / nodes,
        limits.promptTokensPerSecond() / nodes,
        (int) Math.max(1, limits.concurrency() / nodes));
  }

  private void reportDemand() {
    double seconds = context.settings().wantNanos() / NANOS_PER_SECOND;
    for (Share share : shares.values()) {
      updateDemand(share, seconds);
      if (needsReport(share)) {
        share.reportedRequestRate = share.requestRate;
        share.reportedConcurrency = neededConcurrency(share);
        context.emit(
            new Effect.WantLimit(
                share.workspace, share.requestRate, share.tokenRate, share.reportedConcurrency));
      }
      share.refusedForConcurrency = 0;
    }
    shares.values().removeIf(s -> s.idlePeriods > MAX_IDLE_PERIODS || s.limits.equals(Limits.NONE));
    if (!shares.isEmpty()) {
      context.timers().set(timer, context.now() + context.settings().wantNanos());
    }
  }

  private static void updateDemand(Share share, double seconds) {
    share.requestRate += DEMAND_SMOOTHING * (share.arrivedRequests / seconds - share.requestRate);
    share.tokenRate += DEMAND_SMOOTHING * (share.arrivedTokens / seconds - share.tokenRate);
    boolean idle = share.arrivedRequests == 0 && share.running == 0;
    share.idlePeriods = idle ? share.idlePeriods + 1 : 0;
    share.arrivedRequests = 0;
    share.arrivedTokens = 0;
  }

  private boolean needsReport(Share share) {
    if (share.idlePeriods > MAX_IDLE_PERIODS) {
      return false;
    }
    boolean expires = share.grantedUntil - context.now() < 2 * context.settings().wantNanos();
    double change = Math.abs(share.requestRate - share.reportedRequestRate);
    return expires
        || change > MIN_REPORTED_CHANGE * share.reportedRequestRate
        || neededConcurrency(share) != share.reportedConcurrency;
  }

  private static int neededConcurrency(Share share) {
    return share.running + share.refusedForConcurrency;
  }
}
