/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.larkkeel.relay.RelayFact;
import org.larkkeel.relay.RelaySettings;
import org.larkkeel.relay.ServiceName;

/**
 * The retries that this node may make at each service.
 *
 * <p>Invariants: those of {@link ServiceRetryBudget} and {@link RetrySlack}, with the slack divided
 * evenly among all nodes. While the number of nodes is unknown, no slack is used. Not thread-safe.
 */
final class RetryBudget {
  /**
   * The part of the budget that nodes use. The rest is for arrivals that no node counts, such as
   * those of a node that was killed while its upstreams read nothing.
   */
  private static final double USED_PART = 0.9;

  private final RelaySettings settings;
  private final Map<ServiceName, ServiceRetryBudget> budgets = new HashMap<>();
  private int nodes;
  private boolean nodesKnown = true;

  /** The number of nodes among which the slack is divided; from the settings until counted. */
  private int slackNodes;

  private boolean hasStarted;
  private long startedAt;

  RetryBudget(RelaySettings settings) {
    this.settings = settings;
    this.nodes = settings.nodes();
    this.slackNodes = nodes;
  }

  /** Sets the number of nodes. */
  void nodes(long at, int count) {
    nodes = Math.max(settings.nodes(), count);
    slackNodes = count;
    shareSlack(at);
  }

  /** Returns the number of nodes; never less than in the settings. */
  int nodes() {
    return nodes;
  }

  /** Sets whether the list of all nodes has been read in this life of the node. */
  void nodesKnown(long at, boolean known) {
    nodesKnown = known;
    shareSlack(at);
  }

  private void shareSlack(long at) {
    budgets.values().forEach(b -> b.setSlackShare(at, slackShare()));
  }

  private double slackShare() {
    return nodesKnown ? USED_PART * settings.repeatSlack() / slackNodes : 0;
  }

  /** Records the start of this node; later calls have no effect. */
  void started(long at) {
    if (!hasStarted) {
      hasStarted = true;
      startedAt = at;
    }
  }

  /** Counts a first attempt. */
  void recordFirst(long at, ServiceName service) {
    budget(at, service).recordFirst(at);
  }

  /** Counts a retry if one is allowed. */
  Optional<RetryPermit> tryAcquire(long at, ServiceName service) {
    return budget(at, service).tryAcquire(at);
  }

  /** Returns whether a retry is allowed. */
  boolean allows(long at, ServiceName service) {
    return budget(at, service).left(at) >= 1;
  }

  /** Returns the retries of the window that ends now, including those that may yet arrive. */
  int used(long at, ServiceName service) {
    return budget(at, service).used(at);
  }

  /** Returns the retries that this node's part of the budget allows in the window that ends now. */
  double allowed(long at, ServiceName service) {
    return budget(at, service).allowed(at);
  }

  /** Returns the fact that a call was not retried, as the retry budget of its service is spent. */
  RelayFact spentFact(long at, CallState c) {
    ServiceRetryBudget budget = budget(at, c.service);
    return new RelayFact.BudgetSpent(
        c.call.wireId(),
        c.service.value(),
        budget.used(at),
        budget.allowed(at),
        budget.left(at),
        nodesKnown ? slackNodes : 0);
  }

  /** Returns the fact that a retry was counted. */
  RelayFact usedFact(long at, CallState c) {
    ServiceRetryBudget budget = budget(at, c.service);
    return new RelayFact.BudgetUsed(c.service.value(), budget.used(at), budget.allowed(at));
  }

  private ServiceRetryBudget budget(long at, ServiceName service) {
    return budgets.computeIfAbsent(
        service,
        s ->
            new ServiceRetryBudget(
                USED_PART * settings.repeatShare(),
                settings.windowNanos(),
                hasStarted ? startedAt : at,
                slackShare()));
  }
}
