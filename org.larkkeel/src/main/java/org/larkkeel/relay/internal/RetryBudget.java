/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.larkkeel.relay.RelayFact;
import org.larkkeel.relay.RelaySettings;
import org.larkkeel.relay.ServiceName;

/**
 * The retries that this node may make at each service.
 *
 * <p>Invariants: that of {@link ServiceRetryBudget}, with the slack divided evenly among all nodes.
 * The slack that all lives of a node use in a window is at most the node's part: a life gets half
 * of it, and after a start only in proportion to the elapsed part of a window, so that the lives
 * that follow one another within a window get the other half together. Not thread-safe.
 */
final class RetryBudget {
  /** The share of the slack that one life of a node may use in a window. */
  private static final double SHARE_OF_LIFE = 0.5;

  private final RelaySettings settings;
  private final Map<ServiceName, ServiceRetryBudget> budgets = new HashMap<>();
  private int nodes;
  private OptionalLong startedAt = OptionalLong.empty();

  RetryBudget(RelaySettings settings) {
    this.settings = settings;
    this.nodes = settings.nodes();
  }

  /**
   * Sets the number of nodes among which the slack is divided; it is never less than in the
   * settings.
   */
  void nodes(int count) {
    nodes = Math.max(settings.nodes(), count);
  }

  /** Returns the number of nodes among which the slack is divided. */
  int nodes() {
    return nodes;
  }

  /** Records the start of this node; later calls have no effect. */
  void started(long at) {
    if (startedAt.isEmpty()) {
      startedAt = OptionalLong.of(at);
    }
  }

  /** Counts a first attempt. */
  void recordFirst(long at, ServiceName service) {
    budget(service).recordFirst(at);
  }

  /** Counts a retry if one is allowed; returns whether it is. */
  boolean tryAcquire(long at, ServiceName service) {
    return budget(service).tryAcquire(at, slack(at));
  }

  /** Returns whether a retry is allowed. */
  boolean allows(long at, ServiceName service) {
    ServiceRetryBudget budget = budget(service);
    return budget.used(at) + 1 <= budget.allowed(at, slack(at));
  }

  /**
   * Uncounts a retry that reached no upstream.
   *
   * @param acquiredAt the time at which the retry was counted
   */
  void release(long acquiredAt, ServiceName service) {
    budget(service).release(acquiredAt);
  }

  /** Returns the fact that a call was not retried, as the retry budget of its service is spent. */
  RelayFact spentFact(long at, CallState c) {
    ServiceRetryBudget budget = budget(c.service);
    return new RelayFact.BudgetSpent(
        c.call.wireId(), c.service.value(), budget.used(at), budget.allowed(at, slack(at)));
  }

  private ServiceRetryBudget budget(ServiceName service) {
    return budgets.computeIfAbsent(
        service, s -> new ServiceRetryBudget(settings.repeatShare(), settings.windowNanos()));
  }

  private double slack(long at) {
    double elapsed = (double) (at - startedAt.orElse(at)) / settings.windowNanos();
    return SHARE_OF_LIFE * Math.min(1, elapsed) * settings.repeatSlack() / nodes;
  }
}
