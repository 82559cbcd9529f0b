/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment;

import java.util.Map;

/**
 * What one policy reached in one run.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param policy the policy
 * @param load the load factor
 * @param seed the seed
 * @param offered completions that arrived
 * @param good completions finished within both latency targets
 * @param bound the most completions that any policy could finish within both
 * @param fluid the fluid limit: completions that the capacity allows during the arrivals
 * @param goodput good completions a second of arrivals
 * @param computedTokens prompt tokens computed
 * @param wastedTokens prompt tokens computed whose result yielded no token
 * @param noSlots transfers refused for want of a slot
 * @param evictions transfers that found the KV cache gone
 * @param busy busy share by role and generation while completions waited
 * @param classes results by class
 * @param violations broken promises by kind
 * @since 0.1
 */
public record RunResult(
    String policy,
    double load,
    long seed,
    int offered,
    int good,
    double bound,
    double fluid,
    double goodput,
    double computedTokens,
    double wastedTokens,
    int noSlots,
    int evictions,
    Map<String, Double> busy,
    Map<String, ClassResult> classes,
    Map<String, Integer> violations) {

  /**
   * Results of one class.
   *
   * @param offered requests that arrived
   * @param good finished within all targets
   * @param late answered past a target
   * @param refused answered with an error, by kind
   * @param left callers that left
   * @param firstMillis time to the first token or plain answer
   * @param betweenMillis mean time between tokens of a request
   */
  public record ClassResult(
      int offered,
      int good,
      int late,
      Map<String, Integer> refused,
      int left,
      Percentiles firstMillis,
      Percentiles betweenMillis) {}

  /**
   * Percentiles over the answered requests.
   *
   * @param p50 the median
   * @param p95 the 95th percentile
   * @param p99 the 99th percentile
   */
  public record Percentiles(double p50, double p95, double p99) {}

  /**
   * The share of good completions among those that the bound allows.
   *
   * @return 0 to 1; 1 if the bound is 0
   */
  public double ofBound() {
    return bound == 0 ? 1 : good / bound;
  }

  /**
   * The share of prefill work that was wasted.
   *
   * @return 0 to 1
   */
  public double wastedShare() {
    return computedTokens == 0 ? 0 : wastedTokens / computedTokens;
  }
}
