/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment;

import java.util.Map;

/**
 * The result of one policy in one run; component names are JSON fields of the result file.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param policy the policy
 * @param load the load factor
 * @param seed the seed
 * @param offered the number of completions that arrived
 * @param good the number of completions finished within both latency targets
 * @param bound an upper bound of {@code good} for any policy
 * @param fluid the number of completions that the fluid limit allows during the arrivals
 * @param goodput good completions per second of arrivals
 * @param computedTokens the number of computed prompt tokens
 * @param wastedTokens the number of computed prompt tokens whose KV cache yielded no token
 * @param noSlots the number of transfers refused for lack of a slot
 * @param evictions the number of transfers that failed because the KV cache was evicted
 * @param busy the busy share by role and generation while completions waited
 * @param classes the results by class
 * @param violations the number of violations by kind
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
   * @param offered the number of requests that arrived
   * @param good the number of requests answered within all targets
   * @param late the number of requests answered after a target
   * @param refused the number of requests answered with an error, by kind
   * @param left the number of callers that disconnected
   * @param firstMillis the time to the first token or plain answer
   * @param betweenMillis the mean time between tokens of a request
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
   * Returns the share of good completions among those that the bound allows.
   *
   * @return 0 to 1; 1 if the bound is 0
   */
  public double ofBound() {
    return bound == 0 ? 1 : good / bound;
  }

  /**
   * Returns the wasted share of the prefill work.
   *
   * @return 0 to 1
   */
  public double wastedShare() {
    return computedTokens == 0 ? 0 : wastedTokens / computedTokens;
  }
}
