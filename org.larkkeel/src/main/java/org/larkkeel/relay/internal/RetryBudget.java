/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.HashMap;
import java.util.Map;
import org.larkkeel.relay.RelayFact;
import org.larkkeel.relay.RelaySettings;
import org.larkkeel.relay.ServiceName;

/**
 * The retries that this node may make at each service.
 *
 * <p>Invariant: that of {@link ServiceRetryBudget}, with the slack divided evenly among all nodes.
 * Not thread-safe.
 */
final class RetryBudget {
  private final RelaySettings settings;
  private final Map<ServiceName, ServiceRetryBudget> budgets = new HashMap<>();
  private int nodes;

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

  /** Counts a first attempt. */
  void recordFirst(long at, ServiceName service) {
    budget(service).recordFirst(at);
  }

  /** Counts a retry if one is allowed; returns whether it is. */
  boolean tryAcquire(long at, ServiceName service) {
    return budget(service).tryAcquire(at, slack());
  }

  /** Returns whether a retry is allowed. */
  boolean allows(long at, ServiceName service) {
    ServiceRetryBudget budget = budget(service);
    return budget.used(at) + 1 <= budget.allowed(at, slack());
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
        c.call.wireId(), c.service.value(), budget.used(at), budget.allowed(at, slack()));
  }

  private ServiceRetryBudget budget(ServiceName service) {
    return budgets.computeIfAbsent(
        service, s -> new ServiceRetryBudget(settings.repeatShare(), settings.windowNanos()));
  }

  private double slack() {
    return settings.repeatSlack() / nodes;
  }
}
