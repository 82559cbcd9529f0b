/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

import java.time.Duration;

/**
 * One node's share of the store's rate limits. Immutable.
 *
 * @param readsPerSecond gets, lists and watches per second
 * @param writesPerSecond creates, updates and deletes per second
 * @param burst the number of reads, and of writes, that may be sent at once
 * @param maxWait the maximum wait for a token; a call that would wait longer fails as throttled
 * @param initialProbeDelay the upper bound of the first delay between probes during an outage
 * @param maxProbeDelay the upper bound of all delays between probes
 * @since 0.1
 */
public record CallBudget(
    double readsPerSecond,
    double writesPerSecond,
    double burst,
    Duration maxWait,
    Duration initialProbeDelay,
    Duration maxProbeDelay) {

  /** Suits 8 nodes that share a store limited to 400 writes and 2,000 reads per second. */
  public static final CallBudget DEFAULT =
      new CallBudget(
          100, 50, 50, Duration.ofSeconds(1), Duration.ofMillis(100), Duration.ofSeconds(2));
}
