/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.standin;

/**
 * How late and how incompletely an engine reports.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param loadLagMillis how old the reported load is at least, in milliseconds
 * @param eventLagMillis how late cache events appear, in milliseconds
 * @param eventLossShare the share of cache events that never appear, 0 to 1
 * @param seed chooses the events that are lost
 * @since 0.1
 */
public record EngineReports(
    long loadLagMillis, long eventLagMillis, double eventLossShare, long seed) {
  /** Load half a second old, events a second late and one in twenty lost. */
  public static final EngineReports DEFAULTS = new EngineReports(500, 1_000, 0.05, 1);
}
