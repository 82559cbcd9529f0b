/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.log;

import java.time.Duration;

/**
 * Limits of a writer. Immutable.
 *
 * @param interval the shortest distance between the beginnings of two entries, so that the write
 *     rate does not depend on the rate of records
 * @param maxPending records that may wait; more are refused
 * @param snapshotEntries entries between snapshots
 * @param snapshotBytes bytes of records between snapshots, whichever comes first
 * @since 0.1
 */
public record LogWriterOptions(
    Duration interval, int maxPending, int snapshotEntries, long snapshotBytes) {
  /** The usual limits. */
  public static final LogWriterOptions DEFAULT =
      new LogWriterOptions(Duration.ofMillis(50), 10_000, 256, 4L << 20);
}
