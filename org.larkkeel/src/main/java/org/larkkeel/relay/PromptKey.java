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
 * Names the part of a prompt that belongs to one request, through all tries of its caller.
 *
 * <p>Engines keep the prompts that they have read for some time. As nodes share nothing about them,
 * the key itself ranks the upstreams (rendezvous hashing): each node, also one that has just
 * started, comes to the same order.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param value as the caller's side calls it, empty if it did not say, never null
 * @since 0.1
 */
public record PromptKey(String value) {
  /** Of calls that do not name their prompt. */
  public static final PromptKey NONE = new PromptKey("");

  private static final HashFunction HASH = Hashing.murmur3_128();
  private static final double RANGE = 0x1p53;

  /** Whether the prompt has a name. */
  public boolean isKnown() {
    return !value.isEmpty();
  }

  /**
   * The rank of an upstream for this prompt, the same on all nodes.
   *
   * @param upstream not null
   * @return from 0, the first choice, to below 1, evenly spread over keys and upstreams
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
