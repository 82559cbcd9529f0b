/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import com.google.common.collect.ImmutableList;
import java.util.concurrent.TimeUnit;
import org.larkkeel.lib.RuleName;

/**
 * A routing rule for calls of one host and path prefix, with its limits.
 *
 * <p>Durations of more than a day count as a day, so that no time computed with them overflows.
 * Immutable and safe for use by several threads.
 *
 * @param name the name, unique in its configuration
 * @param host the host that callers name
 * @param prefix the path prefix, which begins and ends with a slash
 * @param split the services, at least one, with positive weights
 * @param kind whether and how a call may be run again
 * @param timeoutMillis the maximum time until the final answer
 * @param maxRuns the maximum number of upstreams that may run one call, at least 1
 * @param targetMillis the latency target of callers: for the complete answer, or for the first
 *     event
 * @param gapMillis the maximum pause between events that is still on target; 0 for none
 * @param priority the priority of the calls, from 0 to {@link CallRank#MAX_PRIORITY}; 0 is served
 *     first
 * @param anonymous true if callers need no key
 * @since 0.1
 */
public record RelayRule(
    RuleName name,
    String host,
    String prefix,
    ImmutableList<Share> split,
    CallKind kind,
    long timeoutMillis,
    int maxRuns,
    long targetMillis,
    long gapMillis,
    int priority,
    boolean anonymous) {
  private static final long MAX_MILLIS = TimeUnit.DAYS.toMillis(1);

  /**
   * A service and its weight.
   *
   * @param service the service
   * @param weight the weight relative to the sum of all weights, positive
   */
  public record Share(ServiceName service, int weight) {}

  /**
   * Validates the components.
   *
   * @throws IllegalArgumentException if there is no service, or if a weight, the timeout or the
   *     number of runs is not positive, or if the priority is out of range
   */
  public RelayRule {
    timeoutMillis = Math.min(timeoutMillis, MAX_MILLIS);
    targetMillis = Math.min(targetMillis, MAX_MILLIS);
    gapMillis = Math.min(gapMillis, MAX_MILLIS);
    if (split.isEmpty() || split.stream().anyMatch(s -> s.weight() <= 0)) {
      throw new IllegalArgumentException(
          "the rule "
              + name
              + " has no service, or a service whose weight is not positive: name one and use 1 or"
              + " more");
    }
    if (timeoutMillis <= 0 || maxRuns <= 0) {
      throw new IllegalArgumentException(
          "the rule " + name + " has a timeout or a number of runs below 1: use 1 or more");
    }
    CallRank.checkPriority(priority);
  }
}
