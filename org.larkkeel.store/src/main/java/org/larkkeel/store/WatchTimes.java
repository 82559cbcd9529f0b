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
 * Selects the timeouts of watches and the pauses between them.
 *
 * <p>A connection may stop delivering without being closed, and a watch detects that only when its
 * timeout expires without an answer of the store. If the connections of all nodes become
 * unresponsive together, no node learns of a change from a peer, and all would consider their state
 * current. Therefore the first nodes by name are sentinels: their watches have short timeouts, so
 * that one of them soon detects the fault, reads the missed changes and reports them to its peers.
 * This affects only the delay: a node that is no sentinel, or wrongly considers itself one, sees
 * the same changes.
 *
 * <p>The other nodes' timeouts are random. A change ends the watches of all nodes, so that all
 * start new ones at the same moment. If the store then becomes unresponsive without closing the
 * connections, equal timeouts would let all nodes detect it only when they expire. With different
 * timeouts one node detects it early and reports the next change to its peers. With eight nodes and
 * a maximum of 15 s, the distribution lets one node detect it within 6.4 s in all but one of a
 * thousand cases, at 2.3 times the calls of watches that all last 15 s. In a larger cluster a
 * similar number of nodes with short timeouts is enough, and the watches of the others last for the
 * maximum: 95 nodes make 7.4 instead of 14.6 calls per second.
 *
 * <p>After a watch has delivered a change, the next one starts after a pause, so that changes that
 * follow are delivered together. The pause grows with the cluster, since each change ends the
 * watches of all nodes. Sentinels have the minimum pause, so that no watch is considered
 * unresponsive before it has been restarted.
 *
 * <p>Not thread-safe.
 */
public final class WatchTimes {
  private static final double MIN_TIMEOUT_FRACTION = 0.15;

  /**
   * The number of sentinels: one may be partitioned together with its data centre, and one be down.
   */
  private static final int SENTINELS = 3;

  /**
   * The watch timeout of sentinels. With 1 s for an answer that does not arrive, 0.25 s until the
   * list, 0.4 s until the report has reached all peers, and 0.5 s until they have listed again, all
   * nodes know of a change within 3 s after their connections became unresponsive.
   */
  private static final Duration SENTINEL_TIMEOUT = Duration.ofMillis(750);

  /**
   * The mean number of nodes of a cluster whose watches have random timeouts: of that many, one
   * detects an unresponsive store within 6.4 s in all but one of a thousand cases.
   */
  private static final int MEAN_SPREAD_NODES = 12;

  /** The minimum pause, by which a change that follows another one may be delayed. */
  private static final Duration MIN_PAUSE = Duration.ofMillis(150);

  /**
   * The maximum pause. With 2.4 s until a sentinel's report has reached its peers, and 0.5 s to
   * detect a watch that is unresponsive after the pause and to list instead, all nodes know of a
   * change within 4.4 s.
   */
  private static final Duration MAX_PAUSE = Duration.ofMillis(1_500);

  /**
   * The calls per second that the watches of a whole cluster make for a collection that changes
   * continuously: as many as 9 nodes make with the minimum pause. The pause of 60 nodes is 1 s.
   */
  private static final double CLUSTER_CALLS_PER_SECOND = 60;

  private final Duration maxTimeout;
  private final DoubleSupplier timeoutFraction;
  private final IntSupplier nodes;
  private final IntSupplier rank;

  private WatchTimes(
      Duration maxTimeout, DoubleSupplier timeoutFraction, IntSupplier nodes, IntSupplier rank) {
    this.maxTimeout = maxTimeout;
    this.timeoutFraction = timeoutFraction;
    this.nodes = nodes;
    this.rank = rank;
  }

  /** Returns the same timeout for each watch, with the minimum pause. */
  public static WatchTimes fixed(Duration timeout) {
    return new WatchTimes(timeout, () -> 1, () -> 1, () -> SENTINELS);
  }

  /**
   * Returns random timeouts up to a maximum, short ones more often than long ones.
   *
   * @param maxTimeout the maximum timeout
   * @param random the source of randomness
   * @param nodes the known number of nodes that watch, including this one
   * @param rank the known number of those nodes whose names sort before this node's
   */
  public static WatchTimes spread(
      Duration maxTimeout, SplittableRandom random, IntSupplier nodes, IntSupplier rank) {
    return new WatchTimes(maxTimeout, () -> timeoutFraction(random, nodes.getAsInt()), nodes, rank);
  }

  private static double timeoutFraction(SplittableRandom random, int nodes) {
    if (nodes > MEAN_SPREAD_NODES && random.nextInt(nodes) >= MEAN_SPREAD_NODES) {
      return 1;
    }
    double u = random.nextDouble();
    return MIN_TIMEOUT_FRACTION + (1 - MIN_TIMEOUT_FRACTION) * u * u;
  }

  /** Returns the timeout of the next watch. */
  Duration nextTimeout() {
    if (rank.getAsInt() < SENTINELS && SENTINEL_TIMEOUT.compareTo(maxTimeout) < 0) {
      return SENTINEL_TIMEOUT;
    }
    return Duration.ofMillis(
        Math.max(1, Math.round(maxTimeout.toMillis() * timeoutFraction.getAsDouble())));
  }

  /** Returns the pause between a watch that has delivered a change and the next watch. */
  Duration pause() {
    if (rank.getAsInt() < SENTINELS) {
      return MIN_PAUSE;
    }
    Duration clusterPause =
        Duration.ofMillis(Math.round(1_000 * nodes.getAsInt() / CLUSTER_CALLS_PER_SECOND));
    Duration pause = clusterPause.compareTo(MIN_PAUSE) > 0 ? clusterPause : MIN_PAUSE;
    return pause.compareTo(MAX_PAUSE) < 0 ? pause : MAX_PAUSE;
  }
}
