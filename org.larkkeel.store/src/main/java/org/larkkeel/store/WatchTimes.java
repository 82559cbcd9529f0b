/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

import java.time.Duration;
import java.util.SplittableRandom;
import java.util.function.DoubleSupplier;

/**
 * How long each watch waits.
 *
 * <p>A change ends the watches of all nodes, so that all begin anew in the same moment. If the
 * store then falls silent without an end of their connections, all find out only when their time is
 * over. Times that differ let one node find out early; it tells the others of the next change. Of
 * eight nodes with 15 s at most, one finds out within 6.4 s in all but one of a thousand cases (by
 * the distribution), for 2.3 times the calls of watches that all last 15 s.
 *
 * <p>Not safe for use by several threads.
 */
public final class WatchTimes {
  private static final double LEAST_SHARE = 0.15;

  private final Duration longest;
  private final DoubleSupplier share;

  private WatchTimes(Duration longest, DoubleSupplier share) {
    this.longest = longest;
    this.share = share;
  }

  /** The same for each watch. */
  public static WatchTimes always(Duration time) {
    return new WatchTimes(time, () -> 1);
  }

  /**
   * Spread below the longest, short ones more often than long ones.
   *
   * @param longest the longest time
   * @param random draws them
   */
  public static WatchTimes spread(Duration longest, SplittableRandom random) {
    return new WatchTimes(
        longest,
        () -> {
          double u = random.nextDouble();
          return LEAST_SHARE + (1 - LEAST_SHARE) * u * u;
        });
  }

  /** The time of the next watch. */
  Duration next() {
    return Duration.ofMillis(Math.max(1, Math.round(longest.toMillis() * share.getAsDouble())));
  }
}
