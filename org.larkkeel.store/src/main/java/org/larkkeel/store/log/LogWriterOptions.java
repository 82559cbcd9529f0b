/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.log;

import java.time.Duration;

/**
 * The limits of a {@link LogWriter}. Immutable.
 *
 * @param interval the minimum time between the starts of two appends, so that the write rate does
 *     not depend on the rate of records
 * @param maxPending the maximum number of records that may wait; further ones are refused
 * @param snapshotEntries the number of entries after which a snapshot is written
 * @param snapshotBytes the bytes of records after which a snapshot is written, if reached before
 *     {@code snapshotEntries}
 * @since 0.1
 */
public record LogWriterOptions(
    Duration interval, int maxPending, int snapshotEntries, long snapshotBytes) {
  /** The default limits. */
  public static final LogWriterOptions DEFAULT =
      new LogWriterOptions(Duration.ofMillis(50), 10_000, 256, 4L << 20);
}
