/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.fleet;

import com.google.common.collect.ImmutableList;

/**
 * A simulated deployment and the calls that it has to serve.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param nodes the relay nodes and the network between them
 * @param engines the upstreams that run models
 * @param plain the upstreams without a model
 * @param calls the kinds of calls
 * @param bursts periods with a higher rate of calls
 * @param dark periods in which engines are unresponsive
 * @param nodeFaults faults of nodes
 * @param plainLimits periods in which plain upstreams announce rate limits
 * @param seconds the duration of the arrivals
 * @since 0.1
 */
public record FleetScenario(
    Nodes nodes,
    Engines engines,
    Plain plain,
    ImmutableList<CallClass> calls,
    ImmutableList<Burst> bursts,
    ImmutableList<EngineOutage> dark,
    ImmutableList<NodeFault> nodeFaults,
    ImmutableList<PlainLimit> plainLimits,
    double seconds) {
  /** The maximum size of a prompt or output, as a multiple of the mean of its kind. */
  static final double MAX_SIZE_FACTOR = 2.4;

  /**
   * The nodes.
   *
   * @param count the number of nodes
   * @param allocatorFrom the number of nodes from which one of them, the reservation coordinator,
   *     reserves memory for the calls of all
   * @param datagramMillis the mean delay of a datagram between two nodes; each takes half to one
   *     and a half times this
   * @param datagramLoss the share of datagrams that is lost
   * @param upstreamMillis the one-way delay between a node and an upstream or a caller
   */
  public record Nodes(
      int count,
      int allocatorFrom,
      double datagramMillis,
      double datagramLoss,
      double upstreamMillis) {}

  /**
   * The engines, which are all equal except for their stage.
   *
   * @param prefill the number of engines that prefill prompts for other engines
   * @param decode the number of engines that decode
   * @param slots the number of requests that an engine runs at once
   * @param queue the number of further requests that an engine queues
   * @param memoryTokens the memory of an engine in tokens
   * @param blockTokens the tokens of a memory block, the unit of allocation
   * @param stepMillis the time of a decode step, which generates one token per request
   * @param stepMillisPerRequest the time that each request adds to a step
   * @param promptTokensPerMilli the prefill speed; half of it on decode engines
   * @param chunkTokens the tokens of a prefill chunk; a quarter of it on decode engines
   * @param transferMillisPerThousand the time to transfer a thousand tokens over the source's link
   * @param handleMillis the time for which a prompt prefilled for another engine is held
   * @param tokensPerEvent the tokens per event of a stream
   * @param downMillis the time from a crash of an engine to its restart
   */
  public record Engines(
      int prefill,
      int decode,
      int slots,
      int queue,
      long memoryTokens,
      int blockTokens,
      double stepMillis,
      double stepMillisPerRequest,
      double promptTokensPerMilli,
      int chunkTokens,
      double transferMillisPerThousand,
      double handleMillis,
      int tokensPerEvent,
      double downMillis) {}

  /**
   * The plain upstreams, which are all equal.
   *
   * @param count the number of upstreams; may be 0
   * @param slots the number of requests that an upstream runs at once
   * @param queue the number of further requests that an upstream queues
   * @param workMillis the mean time of one request, exponentially distributed
   */
  public record Plain(int count, int slots, int queue, double workMillis) {}

  /**
   * One kind of call.
   *
   * @param name the name of the kind
   * @param perSecond the rate of calls without retries, over all nodes, as a Poisson process
   * @param promptTokens the mean prompt, log-normally distributed; 0 for calls of plain upstreams
   * @param outputTokens the mean output, log-normally distributed
   * @param targetMillis the target time to the first event, or to the complete answer
   * @param gapMillis the maximum pause between events that is on target
   * @param deadlineMillis the maximum time that a caller waits, from its first attempt
   * @param returns the maximum number of retries of a caller
   * @param worth the worth of an answer on target
   * @param worthLate the worth of a later answer
   * @param crashing the number of distinct requests among the calls, each of which crashes the
   *     engine that starts to decode it; 0 if the calls are harmless and all distinct
   */
  public record CallClass(
      String name,
      double perSecond,
      int promptTokens,
      int outputTokens,
      double targetMillis,
      double gapMillis,
      double deadlineMillis,
      int returns,
      double worth,
      double worthLate,
      int crashing) {
    /** Returns the maximum number of output tokens that a caller asks for. */
    int maxOutputTokens() {
      return (int) (MAX_SIZE_FACTOR * outputTokens);
    }

    /** Returns whether an engine generates the answer. */
    public boolean isStream() {
      return promptTokens > 0;
    }
  }

  /**
   * A period with a higher rate of calls.
   *
   * @param atSecond the start
   * @param seconds the duration
   * @param times the factor by which all rates are multiplied
   */
  public record Burst(double atSecond, double seconds, double times) {}

  /**
   * A period in which engines accept connections and requests but send nothing. At its end they
   * reset all connections and have lost their memory.
   *
   * @param atSecond the start
   * @param seconds the duration
   * @param prefill the number of affected prefill engines
   * @param decode the number of affected decode engines
   */
  public record EngineOutage(double atSecond, double seconds, int prefill, int decode) {}

  /**
   * A fault of nodes that are adjacent in the order of their names.
   *
   * @param kind the kind of fault
   * @param atSecond the start
   * @param seconds the duration
   * @param first the index of the first affected node, from 0
   * @param count the number of affected nodes
   */
  public record NodeFault(
      NodeFaultKind kind, double atSecond, double seconds, int first, int count) {}

  /**
   * A period in which plain upstreams announce a rate limit, over all nodes, in their answers.
   *
   * @param atSecond the start
   * @param seconds the duration
   * @param count the number of affected upstreams
   * @param perSecond the limit of each upstream in requests per second
   */
  public record PlainLimit(double atSecond, double seconds, int count, double perSecond) {}

  /** Returns the factor by which the rates of calls are multiplied at a time. */
  double rateFactorAt(double second) {
    double times = 1;
    for (Burst b : bursts) {
      if (second >= b.atSecond() && second < b.atSecond() + b.seconds()) {
        times *= b.times();
      }
    }
    return times;
  }

  /** Returns an upper bound of {@link #rateFactorAt} over all times. */
  double maxRateFactor() {
    double times = 1;
    for (Burst b : bursts) {
      times *= Math.max(1, b.times());
    }
    return times;
  }
}
