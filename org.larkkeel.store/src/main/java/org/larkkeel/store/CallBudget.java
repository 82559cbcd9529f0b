/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

import java.time.Duration;

/**
 * One node's share of the store's rates. Immutable.
 *
 * @param readsPerSecond gets, lists and watches a second
 * @param writesPerSecond creates, updates and deletes a second
 * @param burst calls at once, of each sort
 * @param longestWait calls that would wait longer fail as throttled
 * @param firstProbe the bound of the first distance of probes in an outage
 * @param longestProbe the bound of all distances of probes
 * @since 0.1
 */
public record CallBudget(
    double readsPerSecond,
    double writesPerSecond,
    double burst,
    Duration longestWait,
    Duration firstProbe,
    Duration longestProbe) {

  /** A share that suits 8 nodes before a store of 400 writes and 2,000 reads a second. */
  public static final CallBudget DEFAULT =
      new CallBudget(
          100, 50, 50, Duration.ofSeconds(1), Duration.ofMillis(100), Duration.ofSeconds(2));
}
