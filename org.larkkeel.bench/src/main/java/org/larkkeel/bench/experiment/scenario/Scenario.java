/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.scenario;

import com.google.common.collect.ImmutableList;
import org.larkkeel.config.Role;
import org.larkkeel.config.Urgency;

/**
 * One experiment, as its file describes it.
 *
 * <p>Immutable and safe for use by several threads. All times are nanoseconds.
 *
 * @param name the name used in results
 * @param seeds one run a seed
 * @param loads load factors relative to the computed capacity
 * @param duration length of the arrivals
 * @param nodes number of routers
 * @param sharedSlots whether the routers know of each other and share slots by grants
 * @param policies names of the policies under test
 * @param kvBytesPerToken size of the KV cache of one token
 * @param platform delays and gaps of the surroundings
 * @param arrivals the arrival process of completions
 * @param upstreams engines and services
 * @param classes the request mix
 * @param faults what fails and when
 * @since 0.1
 */
public record Scenario(
    String name,
    ImmutableList<Long> seeds,
    ImmutableList<Double> loads,
    long duration,
    int nodes,
    boolean sharedSlots,
    ImmutableList<String> policies,
    long kvBytesPerToken,
    Platform platform,
    Arrivals arrivals,
    ImmutableList<UpstreamGroup> upstreams,
    ImmutableList<RequestClass> classes,
    ImmutableList<Fault> faults) {

  /** Nanoseconds of a millisecond. */
  public static final long MILLI = 1_000_000L;

  /** Nanoseconds of a second. */
  public static final long SECOND = 1_000_000_000L;

  /** When the arrivals begin; before, the routers learn of the upstreams. */
  public static final long START = 2 * SECOND;

  /**
   * When the arrivals end.
   *
   * @return nanoseconds
   */
  public long end() {
    return START + duration;
  }

  /**
   * Delays and gaps of the surroundings.
   *
   * @param betweenDataCentres one-way latency between data centres
   * @param withinDataCentre one-way latency inside one
   * @param reportEvery period of load reports
   * @param reportLag age of a load report at its arrival
   * @param cacheEventLag age of a cache event at its arrival
   * @param cacheEventGapShare share of cache events that are lost
   * @param cancelDelay time that an engine takes to acknowledge a cancel
   * @param storeDelay time that the store takes for a claim or a record
   */
  public record Platform(
      long betweenDataCentres,
      long withinDataCentre,
      long reportEvery,
      long reportLag,
      long cacheEventLag,
      double cacheEventGapShare,
      long cancelDelay,
      long storeDelay) {}

  /**
   * The arrival process: Poisson, with the rate multiplied during bursts and lowered between them
   * so that the mean stays.
   *
   * @param burstEvery period of the bursts; 0 for none
   * @param burstFor length of a burst
   * @param burstFactor rate within a burst relative to the mean
   */
  public record Arrivals(long burstEvery, long burstFor, double burstFactor) {
    /** Plain Poisson arrivals. */
    public static final Arrivals POISSON = new Arrivals(0, 0, 1);

    /**
     * The rate at a time relative to the mean.
     *
     * @param at the time
     * @return the factor
     */
    public double factor(long at) {
      if (burstEvery == 0) {
        return 1;
      }
      double share = (double) burstFor / burstEvery;
      boolean burst = (at - START) % burstEvery < burstFor;
      return burst ? burstFactor : (1 - share * burstFactor) / (1 - share);
    }
  }

  /**
   * Equal upstreams.
   *
   * @param name the first part of their names
   * @param count how many
   * @param role what they do
   * @param generation hardware generation
   * @param dataCentres their places, taken in turn
   * @param slots requests that each runs at once
   * @param linkBytesPerSecond rate of each one's link
   * @param tokensPerSecond prefill speed; 0 for other roles
   * @param overhead fixed time of a prefill
   * @param kvHold time until KV cache is evicted
   * @param cachePieces pieces of the prefix cache
   * @param stepBase time of a decode step without requests; 0 for other roles
   * @param stepPerRequest time that each request of the batch adds to a step
   * @param serviceTime time of a plain call in milliseconds
   */
  public record UpstreamGroup(
      String name,
      int count,
      Role role,
      String generation,
      ImmutableList<String> dataCentres,
      int slots,
      long linkBytesPerSecond,
      double tokensPerSecond,
      long overhead,
      long kvHold,
      int cachePieces,
      double stepBase,
      double stepPerRequest,
      Distribution serviceTime) {

    /**
     * The most tokens that one decode engine generates a second, reached with all slots in use.
     *
     * @return tokens a second
     */
    public double decodeTokensPerSecond() {
      return slots * SECOND / step(slots);
    }

    /**
     * The time of a decode step.
     *
     * @param batch requests in the batch
     * @return nanoseconds
     */
    public double step(int batch) {
      return stepBase + stepPerRequest * batch;
    }
  }

  /**
   * One kind of request.
   *
   * @param name the name, also the model's or the path's
   * @param plain whether it is a plain call rather than a completion
   * @param share share of the completions; unused for plain calls
   * @param requestsPerSecond fixed rate of plain calls
   * @param urgency its class
   * @param prompt prompt tokens
   * @param output output tokens
   * @param maxTokens the most tokens asked for
   * @param firstToken target for the first token or the plain answer
   * @param betweenTokens target for the mean time between tokens
   * @param deadline time until the end
   * @param cancelShare share of callers that leave
   * @param cancelAfter when they leave, milliseconds after arrival
   * @param workspaces number of workspaces that send it
   * @param prefixShare share of prompts that begin with a shared prefix
   * @param prefixes number of different shared prefixes
   * @param prefixTokens length of a shared prefix
   * @param nonIdempotentShare share of plain calls that may run only once
   * @param repeatShare share of the non-idempotent calls that the caller sends again with its key
   */
  public record RequestClass(
      String name,
      boolean plain,
      double share,
      double requestsPerSecond,
      Urgency urgency,
      Distribution prompt,
      Distribution output,
      int maxTokens,
      long firstToken,
      long betweenTokens,
      long deadline,
      double cancelShare,
      Distribution cancelAfter,
      int workspaces,
      double prefixShare,
      int prefixes,
      int prefixTokens,
      double nonIdempotentShare,
      double repeatShare) {}

  /**
   * Something that fails.
   *
   * @param type what happens
   * @param at when, first
   * @param every period of its repetition; 0 for once
   * @param lasts how long; ignored by an eviction
   * @param upstream the upstream; empty to choose one of the role by chance each time
   * @param role the role to choose from
   */
  public record Fault(
      FaultType type, long at, long every, long lasts, String upstream, Role role) {}

  /** The kinds of faults. */
  public enum FaultType {
    /** The process dies and is back with a new incarnation. */
    KILL,
    /** The process makes no progress and answers nothing. */
    FREEZE,
    /** The link moves no byte. */
    STALL,
    /** All KV cache is dropped. */
    EVICT_ALL,
    /** The store refuses claims and records. */
    STORE_DOWN
  }
}
