/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.balance;

/**
 * The share of its memory that a new engine takes: it grows, so that many nodes which discover the
 * engine at the same moment do not overrun it.
 *
 * <p>Stateless.
 *
 * @since 0.1
 */
public final class SlowStart {
  /** The time of discovery of an engine that is not new. */
  public static final long ESTABLISHED = Long.MIN_VALUE;

  /**
   * The time until a new engine takes its whole memory, in nanoseconds. By then all nodes have
   * received a complete report of its load, which is sent every 1.5 s.
   */
  public static final long DURATION_NANOS = 2_000_000_000L;

  /** The share at first: two calls of a size of which seven fill an engine, less a reserve. */
  public static final double INITIAL_SHARE = 0.25;

  /**
   * The time by which the starts of two nodes differ in the mean, in nanoseconds, where each
   * reserves by itself: about half of the time until a node knows what another one has reserved.
   */
  private static final long NODE_INTERVAL_NANOS = 23_000_000L;

  private SlowStart() {}

  /**
   * Returns the maximum time after the discovery of an engine at which a node that reserves by
   * itself first uses it, in nanoseconds. Nodes draw their times from 0 to this one.
   *
   * @param nodes the number of nodes, at least 1
   */
  public static long maxDelayNanos(int nodes) {
    return Math.min(DURATION_NANOS, (nodes - 1) * NODE_INTERVAL_NANOS);
  }

  /**
   * Returns the share of its memory that an engine takes.
   *
   * @param at now
   * @param startedAt the time of the slow start, or {@link #ESTABLISHED}
   * @return 0 before the start, and from then on at least {@link #INITIAL_SHARE} and at most 1
   */
  public static double share(long at, long startedAt) {
    if (startedAt == ESTABLISHED || at - startedAt >= DURATION_NANOS) {
      return 1;
    }
    double progress = (at - startedAt) / (double) DURATION_NANOS;
    return progress < 0 ? 0 : INITIAL_SHARE + (1 - INITIAL_SHARE) * progress;
  }
}
