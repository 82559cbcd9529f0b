/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.balance;

import org.larkkeel.lib.UpstreamIncarnation;

/**
 * A measurement of the work of one engine.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param upstream the engine
 * @param kind the kind of work
 * @param nanosPerUnit the time that one unit of work took, in nanoseconds
 * @param loadThousandths the load of the engine at that time, in thousandths: for a run, the share
 *     of the memory that other calls held; for a prefill, the tokens queued before it as a multiple
 *     of its own
 * @since 0.1
 */
public record SpeedSample(
    UpstreamIncarnation upstream, WorkKind kind, long nanosPerUnit, long loadThousandths) {
  /**
   * The maximum time of one unit, in nanoseconds. A caller waits at most 14 s, so that an engine
   * which takes longer for one event has no completed work to measure.
   */
  private static final long MAX_NANOS_PER_UNIT = 60_000_000_000L;

  /**
   * The maximum load. 1,000 queued prompts would take an engine over a minute, which no caller
   * waits.
   */
  private static final long MAX_LOAD_THOUSANDTHS = 1_000_000;

  /** Returns whether the values are in the range that engines can show. */
  public boolean isPlausible() {
    return nanosPerUnit > 0
        && nanosPerUnit <= MAX_NANOS_PER_UNIT
        && loadThousandths >= 0
        && loadThousandths <= MAX_LOAD_THOUSANDTHS;
  }

  /** Returns the load of the engine, where 1 is a full memory or one prompt of the same size. */
  double load() {
    return loadThousandths / 1_000.0;
  }
}
