/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.standin;

/**
 * The delay and the loss of the load reports and cache events of an engine.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param loadLagMillis the minimum age of the reported load, in milliseconds
 * @param eventLagMillis the delay of cache events, in milliseconds
 * @param eventLossShare the share of cache events that are never reported, 0 to 1
 * @param seed the seed of the random choice of lost events
 * @since 0.1
 */
public record EngineReports(
    long loadLagMillis, long eventLagMillis, double eventLossShare, long seed) {
  /** Load half a second old, cache events one second late, one event in twenty lost. */
  public static final EngineReports DEFAULTS = new EngineReports(500, 1_000, 0.05, 1);
}
