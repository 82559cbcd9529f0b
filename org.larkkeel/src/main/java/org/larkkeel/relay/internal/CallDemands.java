/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import org.larkkeel.overload.GatheredCapacity;
import org.larkkeel.relay.CallSize;
import org.larkkeel.relay.PromptKey;
import org.larkkeel.relay.RelayConfiguration;
import org.larkkeel.relay.ServiceBounds;

/** Computes the demands of calls on upstreams from what callers declare. Stateless. */
final class CallDemands {
  /** The share of an upstream's connections that the nodes may use together. */
  private static final double MAX_CONNECTION_SHARE = 0.8;

  /** The maximum fill of an upstream for calls that were not refused before, and for streams. */
  private static final double MAX_FILL_FIRST_TRY = 0.92;

  /** The maximum fill of an upstream for calls that their callers retried. */
  private static final double MAX_FILL_RETRY = 0.88;

  /** The maximum fill of an upstream for calls that can no longer meet their target. */
  private static final double MAX_FILL_LATE = 0.65;

  private static final int MIN_CONNECTIONS = 4;

  /**
   * The weights of the caller's hint and of its maximum in the expected output; {@link
   * #BOUND_WEIGHT_WITHOUT_HINT} is the weight of the maximum without a hint.
   */
  private static final double HINT_WEIGHT = 0.5;

  private static final double BOUND_WEIGHT = 0.2;
  private static final double BOUND_WEIGHT_WITHOUT_HINT = 0.4;

  /** The share of the output still expected that counts: other calls end while it grows. */
  private static final double REMAINING_OUTPUT_SHARE = 0.5;

  /** The minimum output still expected, as a share of the generated output. */
  private static final double MIN_REMAINING_SHARE = 0.25;

  /** The time that a call needs from its placement to its first event. */
  private static final long FIRST_EVENT_LEAD_NANOS = 200_000_000L;

  private CallDemands() {}

  /** Returns the demand of running a call. */
  static CallDemand run(CallState c, RelayConfiguration configuration, int nodes, long at) {
    ServiceBounds bounds = configuration.bounds(c.service);
    long units = bounds.memoryTokens() > 0 ? memoryTokens(c) : 1;
    return new CallDemand(
        maxInFlight(bounds, nodes),
        units,
        bounds.memoryTokens(),
        maxFill(c, configuration, at),
        c.call.prompt().key());
  }

  /**
   * Returns the maximum fill of an upstream for a call. Calls that can no longer meet their target
   * leave capacity to those that can, unless they are streaming or the others are less urgent.
   */
  private static double maxFill(
      PendingReservation reservation, RelayConfiguration configuration, long at) {
    if (reservation.isStreaming()
        || configuration.ranks().isUrgent(reservation.service(), reservation.rank())) {
      return MAX_FILL_FIRST_TRY;
    }
    if (!reservation.canMeetTarget(at)) {
      return MAX_FILL_LATE;
    }
    return reservation.isFirstTry() ? MAX_FILL_FIRST_TRY : MAX_FILL_RETRY;
  }

  /** Returns whether a call can still meet its target if its work begins now. */
  static boolean canMeetTarget(PendingReservation reservation, long at) {
    return at + FIRST_EVENT_LEAD_NANOS <= reservation.arrivedAt() + reservation.targetNanos();
  }

  /** Returns the demand of another node's call; that node limits its own connections. */
  static CallDemand remote(RemoteReservation c, RelayConfiguration configuration, long at) {
    long memory = configuration.bounds(c.service()).memoryTokens();
    return new CallDemand(
        Integer.MAX_VALUE,
        c.request().units(),
        memory,
        maxFill(c, configuration, at),
        c.request().promptKey());
  }

  /** Returns the demand of continuing a run at the upstream to which it moves. */
  static CallDemand move(CallState c, RelayConfiguration configuration, int nodes) {
    ServiceBounds bounds = configuration.bounds(c.service);
    return new CallDemand(
        maxInFlight(bounds, nodes),
        memoryTokens(c),
        bounds.memoryTokens(),
        MAX_FILL_FIRST_TRY,
        PromptKey.NONE);
  }

  /**
   * Returns the demand of a call that is owed capacity, which is not subject to the fill bounds for
   * late calls and retries.
   */
  static CallDemand owed(CallDemand demand) {
    return new CallDemand(
        demand.maxInFlight(),
        demand.units(),
        demand.memoryTokens(),
        MAX_FILL_FIRST_TRY,
        demand.promptKey());
  }

  /**
   * Returns whether engines may be dedicated to a call. Calls under the bound for late ones leave
   * capacity to others, so that no engine is kept free for them.
   */
  static boolean mayGather(CallDemand demand) {
    return demand.maxFill() >= MAX_FILL_RETRY
        && !GatheredCapacity.isTooLarge(demand.units(), demand.memoryTokens());
  }

  /**
   * Returns the demand of a call at the engine that is dedicated to it: not subject to the bound
   * for late calls, and up to {@link GatheredCapacity#MAX_MEMORY_SHARE} if it needs more than the
   * bounds ever allow.
   */
  static CallDemand dedicated(CallDemand demand) {
    double bound = Math.max(demand.maxFill(), MAX_FILL_RETRY);
    double maxFill =
        demand.units() > bound * demand.memoryTokens() ? GatheredCapacity.MAX_MEMORY_SHARE : bound;
    return new CallDemand(
        demand.maxInFlight(), demand.units(), demand.memoryTokens(), maxFill, demand.promptKey());
  }

  /** Returns the demand of running a call that finds no free memory and cannot wait. */
  static CallDemand withoutMemoryLimit(CallDemand demand) {
    return new CallDemand(demand.maxInFlight(), demand.units(), 0, 1, demand.promptKey());
  }

  /** Returns the demand of prefilling a prompt. */
  static CallDemand prefill(long tokens, int maxInFlight) {
    return new CallDemand(maxInFlight, Math.max(1, tokens), 0, 1, PromptKey.NONE);
  }

  /**
   * Returns the number of tokens that a call holds, or soon will hold, at the upstream that runs
   * it.
   */
  static long memoryTokens(CallState c) {
    CallSize size = c.call.size();
    double expected =
        Math.max(expectedOutput(size) - c.generatedTokens, MIN_REMAINING_SHARE * c.generatedTokens);
    double maximum = Math.max(0, size.maxOutput() - c.generatedTokens);
    return Math.max(
        1,
        size.prompt()
            + c.generatedTokens
            + Math.round(REMAINING_OUTPUT_SHARE * Math.min(expected, maximum)));
  }

  private static double expectedOutput(CallSize size) {
    if (size.expectedOutput() == 0) {
      return BOUND_WEIGHT_WITHOUT_HINT * size.maxOutput();
    }
    int hint = Math.min(size.expectedOutput(), size.maxOutput());
    return HINT_WEIGHT * hint + BOUND_WEIGHT * size.maxOutput();
  }

  /** Returns the maximum number of requests of a node at one upstream. */
  static int maxInFlight(ServiceBounds bounds, int nodes) {
    int all = bounds.connections();
    return Math.max(MIN_CONNECTIONS, (int) Math.min(all, MAX_CONNECTION_SHARE * all / nodes));
  }
}
