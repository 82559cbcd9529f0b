/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.run;

import java.time.Duration;

/**
 * The limits of the records of one shard. Immutable.
 *
 * @param retention the time that a run is kept after its claim; a key is unique within this time
 * @param maxRuns the maximum number of runs kept; further claims are refused, since dropping a run
 *     could let its request run again
 * @param maxAnswerBytes the maximum size of an answer that is kept
 * @param maxAnswersBytes the maximum total size of the answers kept; beyond it the oldest answers
 *     are dropped, but their runs stay done
 * @param claimTimeout the maximum time that a claim waits to become durable
 * @since 0.1
 */
public record RunLimits(
    Duration retention,
    int maxRuns,
    int maxAnswerBytes,
    long maxAnswersBytes,
    Duration claimTimeout) {
  /** The default limits. */
  public static final RunLimits DEFAULT =
      new RunLimits(Duration.ofHours(1), 50_000, 16 << 10, 8L << 20, Duration.ofSeconds(3));
}
