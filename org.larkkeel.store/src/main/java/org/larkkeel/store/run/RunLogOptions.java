/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.run;

import org.larkkeel.store.log.LogOptions;
import org.larkkeel.store.log.LogWriterOptions;

/**
 * The limits of the run log. Immutable.
 *
 * @param shards the number of shards; must be the same on all hosts and never change
 * @param limits the limits of the records of each shard
 * @param writer the limits of the writer of each shard
 * @param log the limits of the log of each shard
 * @since 0.1
 */
public record RunLogOptions(int shards, RunLimits limits, LogWriterOptions writer, LogOptions log) {
  /** The default limits. */
  public static final RunLogOptions DEFAULT =
      new RunLogOptions(4, RunLimits.DEFAULT, LogWriterOptions.DEFAULT, LogOptions.DEFAULT);
}
