/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

import java.time.Duration;
import java.util.SplittableRandom;
import java.util.function.DoubleSupplier;
import java.util.function.IntSupplier;

/**
 * How long each watch waits.
 *
 * <p>Connections may fall silent without an end, and a watch shows that only when its time is over
 * and the store has not answered. If those of all nodes fall silent together, none is told of a
 * change by another, and all would take what they know for the newest. So the first nodes by name
 * are sentinels: their watches are short, so that one of them finds out soon, sees what it missed
 * and tells the others. That decides speed only: a node that is none of them, or takes itself for
 * one, sees the same changes.
 *
 * <p>For the others it holds: a change ends the watches of all nodes, so that all begin anew in the
 * same moment. If the store then falls silent without an end of their connections, all find out
 * only when their time is over. Times that differ let one node find out early; it tells the others
 * of the next change. Of eight nodes with 15 s at most, one finds out within 6.4 s in all but one
 * of a thousand cases (by the distribution), for 2.3 times the calls of watches that all last 15 s.
 * In a larger fleet as many nodes as that are enough, and the others' watches last for as long as
 * they may: of 95 nodes 7.4 instead of 14.6 calls a second.
 *
 * <p>A watch that has told of a change begins anew after a pause, so that changes that follow are
 * told together. The pause grows with the fleet, whose watches all end with each change; sentinels
 * have the least, so that others do not take their watches for dead before they begin anew.
 *
 * <p>Not safe for use by several threads.
 */
public final class WatchTimes {
  private static final double LEAST_SHARE = 0.15;

  /** One may be cut off together with its data centre, and one be down. */
  private static final int SENTINELS = 3;

  /**
   * How long the watches of sentinels wait. With 1 s for an answer that does not come, 0.25 s until
   * the list, 0.4 s until all others are told, and 0.5 s until they have read anew, all know of a
   * change within 3 s after their connections fell silent.
   */
  private static final Duration SENTINEL_TIME = Duration.ofMillis(750);

  /**
   * How many nodes of a fleet have watches of different times, in the mean: of so many, one finds
   * out within 6.4 s in all but one of a thousand cases.
   */
  private static final int SPREAD_NODES = 12;

  /** What a change may be late for others that came just before. */
  private static final Duration LEAST_PAUSE = Duration.ofMillis(150);

  /**
   * With a sentinel's 2.4 s until the others are told, and 0.5 s for a watch that is silent after
   * the pause and the list in its place, all know of a change within 4.4 s.
   */
  private static final Duration LONGEST_PAUSE = Duration.ofMillis(1_500);

  /**
   * How many calls a second the watches of a fleet make of a collection that changes all the time:
   * as many as those of 9 nodes with the least pause. The pause of 60 nodes is 1 s.
   */
  private static final double CALLS_PER_SECOND = 60;

  private final Duration longest;
  private final DoubleSupplier share;
  private final IntSupplier nodes;
  private final IntSupplier rank;

  private WatchTimes(Duration longest, DoubleSupplier share, IntSupplier nodes, IntSupplier rank) {
    this.longest = longest;
    this.share = share;
    this.nodes = nodes;
    this.rank = rank;
  }

  /** The same for each watch, with the least pause. */
  public static WatchTimes always(Duration time) {
    return new WatchTimes(time, () -> 1, () -> 1, () -> SENTINELS);
  }

  /**
   * Spread below the longest, short ones more often than long ones.
   *
   * @param longest the longest time
   * @param random draws them
   * @param nodes how many nodes watch, this one included, as far as is known
   * @param rank how many of them come before this one by name, as far as is known
   */
  public static WatchTimes spread(
      Duration longest, SplittableRandom random, IntSupplier nodes, IntSupplier rank) {
    return new WatchTimes(longest, () -> share(random, nodes.getAsInt()), nodes, rank);
  }

  private static double share(SplittableRandom random, int nodes) {
    if (nodes > SPREAD_NODES && random.nextInt(nodes) >= SPREAD_NODES) {
      return 1;
    }
    double u = random.nextDouble();
    return LEAST_SHARE + (1 - LEAST_SHARE) * u * u;
  }

  /** The time of the next watch. */
  Duration next() {
    if (rank.getAsInt() < SENTINELS && SENTINEL_TIME.compareTo(longest) < 0) {
      return SENTINEL_TIME;
    }
    return Duration.ofMillis(Math.max(1, Math.round(longest.toMillis() * share.getAsDouble())));
  }

  /** How long to wait after a watch that has told of a change, before the next begins. */
  Duration pause() {
    if (rank.getAsInt() < SENTINELS) {
      return LEAST_PAUSE;
    }
    Duration fair = Duration.ofMillis(Math.round(1_000 * nodes.getAsInt() / CALLS_PER_SECOND));
    Duration least = fair.compareTo(LEAST_PAUSE) > 0 ? fair : LEAST_PAUSE;
    return least.compareTo(LONGEST_PAUSE) < 0 ? least : LONGEST_PAUSE;
  }
}
