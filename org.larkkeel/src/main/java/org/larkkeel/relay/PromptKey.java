/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.larkkeel.lib.UpstreamName;

/**
 * Identifies the part of a prompt that belongs to one request and stays the same over all retries
 * of its caller.
 *
 * <p>Engines keep the prompts that they have prefilled for some time. Nodes do not share which
 * engine holds which prompt, so the key itself ranks the upstreams by rendezvous hashing: each
 * node, also one that has just started, computes the same order.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param value the caller's name for the prompt; empty if the caller sent none, never null
 * @since 0.1
 */
public record PromptKey(String value) {
  /** The key of calls that do not name their prompt. */
  public static final PromptKey NONE = new PromptKey("");

  private static final HashFunction HASH = Hashing.murmur3_128();
  private static final double RANGE = 0x1p53;

  /** Returns whether the caller named the prompt. */
  public boolean isKnown() {
    return !value.isEmpty();
  }

  /**
   * Returns the rank of an upstream for this prompt, which is the same on all nodes.
   *
   * @param upstream not null
   * @return from 0 (first choice) to below 1, evenly distributed over keys and upstreams
   */
  public double rank(UpstreamName upstream) {
    long hash =
        HASH.newHasher()
            .putString(value, StandardCharsets.UTF_8)
            .putChar(' ')
            .putString(upstream.value(), StandardCharsets.UTF_8)
            .hash()
            .asLong();
    return (hash >>> 11) / RANGE;
  }
}
