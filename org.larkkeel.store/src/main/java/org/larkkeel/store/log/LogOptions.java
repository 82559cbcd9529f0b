/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.log;

import java.time.Duration;

/**
 * The limits of a log. Immutable.
 *
 * @param maxEntryBytes the maximum size of an entry: the bytes of its records as JSON
 * @param chunkBytes the maximum size of a snapshot chunk in bytes, before base64 encoding
 * @param retainedEntries the number of entries covered by the snapshot that truncation keeps for
 *     slow readers
 * @param retainedSeals the number of newest seals that truncation keeps, regardless of their age: a
 *     writer that was paused while fewer owners than this succeeded it fails its next append
 * @param maxResolveAttempts the maximum number of retries to resolve a lost response before an
 *     append is reported as unresolved
 * @param firstRetryDelay the upper bound of the first delay between retries
 * @param maxRetryDelay the upper bound of all delays between retries
 * @param watchTimeout the duration after which the store ends a watch
 * @since 0.1
 */
public record LogOptions(
    int maxEntryBytes,
    int chunkBytes,
    int retainedEntries,
    int retainedSeals,
    int maxResolveAttempts,
    Duration firstRetryDelay,
    Duration maxRetryDelay,
    Duration watchTimeout) {

  /** The default limits. */
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

  /**
   * The maximum number of objects on a page of a list call, so that a page of entries of the
   * maximum size stays within the maximum response size.
   */
  static final int PAGE_ENTRIES = 32;
}
