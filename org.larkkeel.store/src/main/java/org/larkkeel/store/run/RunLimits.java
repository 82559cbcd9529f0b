/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.run;

import java.time.Duration;

/**
 * Bounds of the records of one shard. Immutable.
 *
 * @param retention how long a run is remembered after its claim; a key is unique within this time
 * @param maxRuns runs remembered; beyond it claims are refused rather than runs forgotten
 * @param maxAnswerBytes the largest answer kept
 * @param maxAnswersBytes all answers kept; beyond it the oldest are dropped and their runs stay
 *     done
 * @param claimTimeout the longest time that a claim waits to become durable
 * @since 0.1
 */
public record RunLimits(
    Duration retention,
    int maxRuns,
    int maxAnswerBytes,
    long maxAnswersBytes,
    Duration claimTimeout) {
  /** The usual limits. */
  public static final RunLimits DEFAULT =
      new RunLimits(Duration.ofHours(1), 50_000, 16 << 10, 8L << 20, Duration.ofSeconds(3));
}
