/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.run;

import org.larkkeel.store.log.LogOptions;
import org.larkkeel.store.log.LogWriterOptions;

/**
 * Limits of the run log. Immutable.
 *
 * @param shards the number of shards, the same on all hosts for ever
 * @param limits bounds of each shard's records
 * @param writer limits of each shard's writer
 * @param log limits of each shard's log
 * @since 0.1
 */
public record RunLogOptions(int shards, RunLimits limits, LogWriterOptions writer, LogOptions log) {
  /** The usual limits. */
  public static final RunLogOptions DEFAULT =
      new RunLogOptions(4, RunLimits.DEFAULT, LogWriterOptions.DEFAULT, LogOptions.DEFAULT);
}
