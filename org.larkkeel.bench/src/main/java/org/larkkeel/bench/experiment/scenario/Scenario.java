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
 * The description of one experiment, as read from its file.
 *
 * <p>Immutable and safe for use by several threads. All times are nanoseconds.
 *
 * @param name the name used in results
 * @param seeds the seeds, with one run for each
 * @param loads load factors relative to the computed capacity
 * @param duration the duration of the arrivals
 * @param nodes the number of routers
 * @param sharedSlots true if the routers know each other and share slots by grants
 * @param policies the names of the policies under test
 * @param kvBytesPerToken the size of the KV cache of one token
 * @param platform delays and losses outside the routers
 * @param arrivals the arrival process of completions
 * @param upstreams the engines and services
 * @param classes the request mix
 * @param faults the faults with their times
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
  public static final long NANOS_PER_MILLI = 1_000_000L;

  /** Nanoseconds of a second. */
  public static final long NANOS_PER_SECOND = 1_000_000_000L;

  /** The start of the arrivals; the routers learn of the upstreams before. */
  public static final long ARRIVALS_START_NANOS = 2 * NANOS_PER_SECOND;

  /**
   * Returns the end of the arrivals.
   *
   * @return the time in nanoseconds
   */
  public long end() {
    return ARRIVALS_START_NANOS + duration;
  }

  /**
   * Delays and losses outside the routers.
   *
   * @param betweenDataCentres the one-way latency between data centres
   * @param withinDataCentre the one-way latency within a data centre
   * @param reportEvery the interval between load reports
   * @param reportLag the age of a load report at its arrival
   * @param cacheEventLag the age of a cache event at its arrival
   * @param cacheEventGapShare the share of cache events that are lost
   * @param cancelDelay the time that an engine takes to acknowledge a cancel
   * @param storeDelay the time that the store takes for a claim or a record
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
   * A Poisson arrival process, whose rate is multiplied during bursts and lowered between them so
   * that the mean stays the same.
   *
   * @param burstEvery the period of the bursts; 0 for none
   * @param burstFor the duration of a burst
   * @param burstFactor the rate within a burst relative to the mean
   */
  public record Arrivals(long burstEvery, long burstFor, double burstFactor) {
    /** Poisson arrivals without bursts. */
    public static final Arrivals POISSON = new Arrivals(0, 0, 1);

    /**
     * Returns the rate at a time relative to the mean.
     *
     * @param at the time
     * @return the factor
     */
    public double factor(long at) {
      if (burstEvery == 0) {
        return 1;
      }
      double share = (double) burstFor / burstEvery;
      boolean burst = (at - ARRIVALS_START_NANOS) % burstEvery < burstFor;
      return burst ? burstFactor : (1 - share * burstFactor) / (1 - share);
    }
  }

  /**
   * A group of equal upstreams.
   *
   * @param name the prefix of the upstreams' names
   * @param count the number of upstreams
   * @param role the role of the upstreams
   * @param generation the hardware generation
   * @param dataCentres the data centres, to which the upstreams are assigned in turn
   * @param slots the number of requests that each upstream runs at once
   * @param linkBytesPerSecond the rate of each upstream's link
   * @param tokensPerSecond the prefill speed; 0 for other roles
   * @param overhead the fixed time of a prefill
   * @param kvHold the time until the KV cache of a prefill is evicted
   * @param cachePieces the capacity of the prefix cache in pieces
   * @param stepBase the time of a decode step without requests; 0 for other roles
   * @param stepPerRequest the time that each request of the batch adds to a step
   * @param serviceTime the time of a plain call in milliseconds
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
     * Returns the maximum rate of one decode engine, which it reaches with all slots in use.
     *
     * @return tokens per second
     */
    public double decodeTokensPerSecond() {
      return slots * NANOS_PER_SECOND / stepNanos(slots);
    }

    /**
     * Returns the time of a decode step.
     *
     * @param batch the number of requests in the batch
     * @return nanoseconds
     */
    public double stepNanos(int batch) {
      return stepBase + stepPerRequest * batch;
    }
  }

  /**
   * A class of requests.
   *
   * @param name the name of the class, also used as model name or path
   * @param plain true for plain calls, false for completions
   * @param share the share of the completions; unused for plain calls
   * @param requestsPerSecond the fixed rate of plain calls
   * @param urgency the urgency class
   * @param prompt the number of prompt tokens
   * @param output the number of output tokens
   * @param maxTokens the maximum number of output tokens that is requested
   * @param firstToken the target for the first token or the plain answer
   * @param betweenTokens the target for the mean time between tokens
   * @param deadline the time from arrival to the deadline
   * @param cancelShare the share of callers that disconnect early
   * @param cancelAfter the time from arrival to the disconnect in milliseconds
   * @param workspaces the number of workspaces that send such requests
   * @param prefixShare the share of prompts that begin with a shared prefix
   * @param prefixes the number of different shared prefixes
   * @param prefixTokens the length of a shared prefix
   * @param nonIdempotentShare the share of plain calls that may run only once
   * @param repeatShare the share of non-idempotent calls that the caller repeats with the same key
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
   * A fault that occurs once or periodically.
   *
   * @param type the type of fault
   * @param at the time of the first occurrence, from the start of the arrivals
   * @param period the period of repetition; 0 for a single occurrence
   * @param duration the duration; ignored by an eviction
   * @param upstream the affected upstream; empty to choose one of the role at random each time
   * @param role the role of the upstreams to choose from
   */
  public record Fault(
      FaultType type, long at, long period, long duration, String upstream, Role role) {}

  /** The types of faults. */
  public enum FaultType {
    /** The process crashes and restarts as a new incarnation. */
    KILL,
    /** The process makes no progress and does not answer. */
    FREEZE,
    /** The link transfers no bytes. */
    STALL,
    /** A prefill engine evicts all KV caches that it holds. */
    EVICT_ALL,
    /** The store refuses claims and records. */
    STORE_DOWN
  }
}
