/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.fleet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;

/**
 * What one run of a fleet came to.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param seed of the run
 * @param kinds one entry a kind of call
 * @param tokens tokens of prompts that engines read, by what became of them
 * @param reportedWaste what the nodes' own metric counts as read for nothing
 * @param preemptions requests that engines dropped for want of memory
 * @param declined requests that engines and plain upstreams had no room for
 * @param fullest the greatest share of its memory that any engine that generates had taken
 * @param datagrams datagrams that nodes sent in a second
 * @param bytes bytes in these
 * @param crashes how often an engine ended under a request
 * @param quarantined how often callers of calls like others were told that theirs is quarantined
 * @param limitUse the most requests that a plain upstream with a limit got within 4 s, as a share
 *     of one and a half times the limit and five requests
 * @since 0.1
 */
public record FleetResult(
    long seed,
    ImmutableList<Kind> kinds,
    ImmutableMap<ReadCause, Long> tokens,
    long reportedWaste,
    int preemptions,
    int declined,
    double fullest,
    Sent datagrams,
    Sent bytes,
    int crashes,
    int quarantined,
    double limitUse) {
  /**
   * What nodes sent in a second.
   *
   * @param mean of all nodes
   * @param most of the node that sent most
   */
  public record Sent(double mean, double most) {}

  /**
   * The calls of one kind.
   *
   * @param name its name
   * @param calls first tries
   * @param outcomes how they ended, each in one way
   * @param medianMillis of the first event or answer of those that were served
   * @param p99Millis as the other
   * @param earned what callers got of its worth
   * @param owed the worth if all had been in time
   */
  public record Kind(
      String name,
      int calls,
      ImmutableMap<CallOutcome, Integer> outcomes,
      double medianMillis,
      double p99Millis,
      double earned,
      double owed) {
    /** The share of calls that ended in a way. */
    public double share(CallOutcome outcome) {
      return calls == 0 ? 0 : (double) outcomes.getOrDefault(outcome, 0) / calls;
    }
  }

  /** The share of the worth of all calls that was earned. */
  public double worth() {
    double owed = kinds.stream().mapToDouble(Kind::owed).sum();
    return owed == 0 ? 0 : kinds.stream().mapToDouble(Kind::earned).sum() / owed;
  }

  /** Tokens that were read in all. */
  public long tokensRead() {
    return tokens.values().stream().mapToLong(Long::longValue).sum();
  }

  /** The share of tokens that were read for nothing. */
  public double wasted() {
    long read = tokensRead();
    return read == 0 ? 0 : 1 - (double) tokens.getOrDefault(ReadCause.USED, 0L) / read;
  }
}
