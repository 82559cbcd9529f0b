/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.membership;

import java.util.concurrent.TimeUnit;

/**
 * Periods and bounds of {@link Membership}. Times are nanoseconds.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param probePeriod between two probes of one node
 * @param directTimeout after which others are asked to probe
 * @param probeTimeout after which the target is suspected
 * @param helpers how many nodes are asked to probe
 * @param suspicionMinimum the shortest time to refute a suspicion
 * @param suspicionFactor periods to refute for each power of ten of the cluster's size
 * @param retransmitFactor how often a record is passed on for each power of ten of the size
 * @param piggybackBytes the most bytes of records in a message
 * @param piggybackBytesPerSecond the most bytes of records that a node sends in a second
 * @param pageBytes the most bytes of members in a page
 * @param syncPeriod between two comparisons with a random node
 * @param rejoinPeriod between two attempts to reach a listed host that is not known as present
 * @param tombstoneTime how long dead and left members are remembered
 * @param loadKeys the most load keys that are remembered
 * @since 0.1
 */
public record MembershipSettings(
    long probePeriod,
    long directTimeout,
    long probeTimeout,
    int helpers,
    long suspicionMinimum,
    int suspicionFactor,
    int retransmitFactor,
    int piggybackBytes,
    int piggybackBytesPerSecond,
    int pageBytes,
    long syncPeriod,
    long rejoinPeriod,
    long tombstoneTime,
    int loadKeys) {

  /** In small clusters few messages go out, and each may go to a node that knows already. */
  private static final int MIN_RETRANSMITS = 8;

  /**
   * The settings for nodes some milliseconds apart, within 5 KB a second at 330 nodes.
   *
   * @return the defaults
   */
  public static MembershipSettings defaults() {
    return new MembershipSettings(
        TimeUnit.MILLISECONDS.toNanos(500),
        TimeUnit.MILLISECONDS.toNanos(200),
        TimeUnit.MILLISECONDS.toNanos(800),
        3,
        TimeUnit.MILLISECONDS.toNanos(2_000),
        4,
        4,
        440,
        1_800,
        1_150,
        TimeUnit.SECONDS.toNanos(30),
        TimeUnit.SECONDS.toNanos(5),
        TimeUnit.MINUTES.toNanos(10),
        4_096);
  }

  /**
   * How long a member has to refute a suspicion.
   *
   * @param size the number of members present
   * @return nanoseconds
   */
  long suspicionTime(int size) {
    long scaled = (long) (suspicionFactor * powersOfTen(size) * probePeriod);
    return Math.max(suspicionMinimum, scaled);
  }

  /**
   * How many messages carry a record.
   *
   * @param size the number of members present
   * @return at least 1
   */
  int retransmits(int size) {
    return Math.max(MIN_RETRANSMITS, (int) Math.ceil(retransmitFactor * powersOfTen(size)));
  }

  private static double powersOfTen(int size) {
    return Math.log10(size + 1.0);
  }
}
