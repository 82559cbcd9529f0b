/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.fleet;

import com.google.common.collect.ImmutableMap;
import java.util.EnumMap;
import java.util.Map;

/**
 * Counts every prefilled prompt token under exactly one use.
 *
 * <p>Invariant: the tokens that engines have prefilled equal the sum over all prefills; {@link
 * #close} fails if a prefill has no use or a token is missing. Not safe for use by several threads.
 */
final class TokenLedger {
  private final Map<PrefillUse, Long> settled = new EnumMap<>(PrefillUse.class);
  private long prefilled;
  private long openPrefills;

  /** The tokens that were prefilled for one attempt without interruption. */
  final class Prefill {
    private long tokens;
    private boolean isSettled;

    /** Adds prefilled tokens. */
    void add(long n) {
      if (isSettled) {
        throw new IllegalStateException("prefill of " + n + " tokens after their use was settled");
      }
      tokens += n;
      prefilled += n;
    }

    /** Sets the use of the tokens; only the first call has an effect. */
    void settle(PrefillUse use) {
      if (!isSettled) {
        isSettled = true;
        openPrefills--;
        settled.merge(use, tokens, Long::sum);
      }
    }
  }

  Prefill startPrefill() {
    openPrefills++;
    return new Prefill();
  }

  /**
   * Returns the number of tokens by use.
   *
   * @throws IllegalStateException if a prefill has no use or the sums differ
   */
  ImmutableMap<PrefillUse, Long> close() {
    long sum = settled.values().stream().mapToLong(Long::longValue).sum();
    if (openPrefills != 0 || sum != prefilled) {
      throw new IllegalStateException(
          "token sums differ: prefilled %d, settled %d, prefills without a use %d"
              .formatted(prefilled, sum, openPrefills));
    }
    ImmutableMap.Builder<PrefillUse, Long> all = ImmutableMap.builder();
    for (PrefillUse cause : PrefillUse.values()) {
      all.put(cause, settled.getOrDefault(cause, 0L));
    }
    return all.buildOrThrow();
  }
}
