/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.fleet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;

/**
 * The result of one run of a fleet.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param seed the seed of the run
 * @param kinds one entry per kind of call
 * @param tokens the prompt tokens that engines prefilled, by what became of them
 * @param reportedWastedTokens the wasted prefill tokens that the nodes' own metric counts
 * @param preemptions the number of requests that engines preempted for lack of memory
 * @param declined the number of requests that engines and plain upstreams declined as full
 * @param maxMemoryShare the maximum share of an engine's memory in use at once, over all engines
 * @param datagrams datagrams that nodes sent per second
 * @param bytes bytes of datagrams that nodes sent per second
 * @param crashes the number of engine crashes caused by a request
 * @param quarantined the number of quarantine refusals of calls that do not crash engines
 * @param maxLimitUsage the maximum number of requests that a plain upstream with a limit received
 *     within 4 s, as a share of what is allowed: one and a half times the limit, plus five requests
 * @since 0.1
 */
public record FleetResult(
    long seed,
    ImmutableList<Kind> kinds,
    ImmutableMap<PrefillUse, Long> tokens,
    long reportedWastedTokens,
    int preemptions,
    int declined,
    double maxMemoryShare,
    SendRate datagrams,
    SendRate bytes,
    int crashes,
    int quarantined,
    double maxLimitUsage) {
  /**
   * The send rate of the nodes per second.
   *
   * @param mean the mean over all nodes
   * @param max the rate of the node that sent most
   */
  public record SendRate(double mean, double max) {}

  /**
   * The calls of one kind.
   *
   * @param name the name of the kind
   * @param calls the number of calls, without retries
   * @param outcomes the number of calls by outcome; each call has exactly one
   * @param medianMillis the median time to the first event or answer of the served calls
   * @param p99Millis the 99th percentile of the same time
   * @param earned the worth of the calls as they were served
   * @param attainable the worth if all calls had been served on target
   */
  public record Kind(
      String name,
      int calls,
      ImmutableMap<CallOutcome, Integer> outcomes,
      double medianMillis,
      double p99Millis,
      double earned,
      double attainable) {
    /** Returns the share of calls with an outcome. */
    public double share(CallOutcome outcome) {
      return calls == 0 ? 0 : (double) outcomes.getOrDefault(outcome, 0) / calls;
    }
  }

  /** Returns the earned share of the worth of all calls. */
  public double worth() {
    double owed = kinds.stream().mapToDouble(Kind::attainable).sum();
    return owed == 0 ? 0 : kinds.stream().mapToDouble(Kind::earned).sum() / owed;
  }

  /** Returns the number of prefilled tokens, used or not. */
  public long prefilledTokens() {
    return tokens.values().stream().mapToLong(Long::longValue).sum();
  }

  /** Returns the share of prefilled tokens that were wasted. */
  public double wastedShare() {
    long read = prefilledTokens();
    return read == 0 ? 0 : 1 - (double) tokens.getOrDefault(PrefillUse.USED, 0L) / read;
  }
}
