/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import com.google.common.collect.ImmutableList;
import org.larkkeel.lib.RuleName;

/**
 * Where calls of one host and path prefix go, and within which bounds.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param name unique in its configuration
 * @param host the host that callers name
 * @param prefix the beginning of the path, which begins and ends with a slash
 * @param split the services, at least one, with positive weights
 * @param kind what may be repeated
 * @param timeoutMillis the longest time until the final answer
 * @param maxRuns the most upstreams that may run one call, at least 1
 * @param targetMillis the latency that callers aim at: whole answer, or first event
 * @param gapMillis the longest pause between events that is on time; 0 for none
 * @param priority the rank, 0 first
 * @param anonymous whether callers need no key
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
  /**
   * A service and its weight.
   *
   * @param service the service
   * @param weight its share against the sum of all, positive
   */
  public record Share(ServiceName service, int weight) {}

  /** Checks the bounds. */
  public RelayRule {
    if (split.isEmpty() || split.stream().anyMatch(s -> s.weight() <= 0)) {
      throw new IllegalArgumentException(
          "the rule " + name + " has no service with a positive weight: name one");
    }
    if (timeoutMillis <= 0 || maxRuns <= 0) {
      throw new IllegalArgumentException(
          "the rule " + name + " has no time or no run: use a timeout and a count of 1 or more");
    }
  }
}
