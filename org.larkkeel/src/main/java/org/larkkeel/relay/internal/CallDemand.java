/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import org.larkkeel.overload.GatheredCapacity;
import org.larkkeel.relay.PromptKey;
import org.larkkeel.relay.Stage;

/**
 * The demand of a call on an upstream.
 *
 * @param maxInFlight the maximum number of requests that this node may have in flight there
 * @param units the load that the call adds: tokens where prompts are prefilled or memory is held,
 *     else 1
 * @param memoryTokens the memory of an upstream in tokens; 0 if memory is not limited
 * @param maxFill the maximum share of the memory that may be reserved
 * @param promptKey ranks the upstreams that hold memory
 */
record CallDemand(
    int maxInFlight, long units, long memoryTokens, double maxFill, PromptKey promptKey) {
  private static final double TOKENS_PER_UNIT = 1_000;

  /**
   * The cost factor of the upstream that a prompt ranks last relative to the one that it ranks
   * first, minus 1. It equals the extra cost of a full engine over an empty one for calls whose
   * prompt has no key, so that only an engine that is slow or fails loses the calls that rank it
   * first: each further stream makes an engine's steps less than a hundredth longer, while a cached
   * prompt saves its whole prefill.
   */
  private static final double RANK_WEIGHT = 4;

  /**
   * Returns whether the upstream has capacity for the call; an upstream that has just declined a
   * request counts as full. Calls that grow beyond their hints are part of its load, so that it
   * gets no call while they fill it.
   */
  boolean fits(UpstreamState s, long at) {
    double bound = Math.min(maxFill, GatheredCapacity.MAX_MEMORY_SHARE);
    return memoryTokens == 0 || (!s.isFull(at) && s.totalLoad() + units <= bound * memoryTokens);
  }

  /** Returns whether the call fits into a share of the upstream's memory. */
  boolean fitsShare(UpstreamState s, double share) {
    return memoryTokens == 0 || s.totalLoad() + units <= share * maxFill * memoryTokens;
  }

  /** Returns the share of the upstream's memory that is reserved with the call. */
  double fill(UpstreamState s) {
    return (double) (s.totalLoad() + units) / memoryTokens;
  }

  /** Returns the cost factor of the load that the upstream already has. */
  double loadFactor(UpstreamState s) {
    if (memoryTokens > 0 && promptKey.isKnown()) {
      return 1 + RANK_WEIGHT * promptKey.rank(s.upstream().name());
    }
    if (memoryTokens > 0) {
      return 1 + 4.0 * (s.totalLoad() + units) / memoryTokens;
    }
    if (s.upstream().stage() == Stage.PREFILL) {
      return (s.totalLoad() + units) / TOKENS_PER_UNIT;
    }
    double share = (double) (s.totalLoad() + units) / s.upstream().slots();
    return 1 + Math.max(0, share - 1) + share / 2;
  }
}
