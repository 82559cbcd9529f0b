/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import org.larkkeel.relay.PromptKey;
import org.larkkeel.relay.Stage;

/**
 * What a call asks of an upstream.
 *
 * @param mostEach the most requests that this node may have in flight there
 * @param units what it adds to the load: tokens where prompts are read or memory is held, else 1
 * @param memory the tokens that an upstream holds; 0 if that is no bound
 * @param full how full of promised tokens it may be, as a part of the memory
 * @param prompt ranks the upstreams that hold memory
 */
record Need(int mostEach, long units, long memory, double full, PromptKey prompt) {
  private static final double TOKENS_PER_UNIT = 1_000;

  /**
   * How many times dearer the last upstream in the order of a prompt is than the first, less one.
   * As much as a full engine is dearer than an empty one for calls whose prompt has no name, so
   * that only an engine that is slow or fails loses the calls that rank it first: each further
   * stream makes an engine's steps less than a hundredth longer, while a prompt that is found again
   * saves all of its reading.
   */
  private static final double RANK_WEIGHT = 4;

  /** Whether the upstream has the room; one that has declined just now is full. */
  boolean fits(UpstreamState s, long at) {
    return memory == 0 || (!s.isBusy(at) && s.wholeLoad() + units <= full * memory);
  }

  /** The factor by which what is there already makes the upstream dearer. */
  double queue(UpstreamState s) {
    if (memory > 0 && prompt.isKnown()) {
      return 1 + RANK_WEIGHT * prompt.rank(s.upstream().id());
    }
    if (memory > 0) {
      return 1 + 4.0 * (s.wholeLoad() + units) / memory;
    }
    if (s.upstream().stage() == Stage.PREFILL) {
      return (s.wholeLoad() + units) / TOKENS_PER_UNIT;
    }
    double share = (double) (s.wholeLoad() + units) / s.upstream().slots();
    return 1 + Math.max(0, share - 1) + share / 2;
  }
}
