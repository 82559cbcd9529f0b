/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.log;

import java.time.Duration;

/**
 * Limits of the logs. Immutable.
 *
 * @param maxEntryBytes the largest entry, in bytes of its records as JSON
 * @param chunkBytes the largest piece of a snapshot, before it is encoded
 * @param keepEntries truncation keeps this many entries before the snapshot for slow readers
 * @param keepSeals truncation keeps the newest seals, however old: a writer that was paused while
 *     fewer owners than this followed it fails its next append
 * @param resolveAttempts how often a lost answer is looked into before an append is unresolved
 * @param firstRetry the bound of the first distance between these
 * @param longestRetry the bound of all these distances
 * @param watchTimeout how long one watch waits
 * @since 0.1
 */
public record LogOptions(
    int maxEntryBytes,
    int chunkBytes,
    int keepEntries,
    int keepSeals,
    int resolveAttempts,
    Duration firstRetry,
    Duration longestRetry,
    Duration watchTimeout) {

  /** The usual limits. */
  public static final LogOptions DEFAULT =
      new LogOptions(
          448 << 10,
          700 << 10,
          128,
          64,
          5,
          Duration.ofMillis(20),
          Duration.ofSeconds(2),
          Duration.ofSeconds(60));

  /** Entries on a page of a listing, so that a page of the largest entries can be read. */
  static final int PAGE_ENTRIES = 32;
}
