/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.membership;

import java.util.concurrent.TimeUnit;

/**
 * Periods and limits of {@link Membership}. Times are nanoseconds.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param probePeriodNanos the interval between two probes that one node sends
 * @param directTimeoutNanos the timeout of a direct probe, after which other nodes are asked to
 *     probe
 * @param probeTimeoutNanos the timeout after which the target is suspected
 * @param indirectProbes the number of nodes that are asked to probe
 * @param minSuspicionNanos the minimum time to refute a suspicion
 * @param suspicionFactor the probe periods to refute a suspicion, for each power of ten of the
 *     cluster size
 * @param retransmitFactor the number of messages that carry a record, for each power of ten of the
 *     cluster size
 * @param maxPiggybackBytes the maximum number of bytes of records in a message
 * @param maxPiggybackBytesPerSecond the maximum number of bytes of records that a node sends per
 *     second
 * @param maxPageBytes the maximum number of bytes of members in a sync page
 * @param syncPeriodNanos the interval between two synchronizations with a random node
 * @param rejoinPeriodNanos the interval between two attempts to reach a seed or listed host that is
 *     not present
 * @param tombstoneNanos the time for which dead and left members are kept
 * @param maxLoadKeys the maximum number of load keys that are kept
 * @since 0.1
 */
public record MembershipSettings(
    long probePeriodNanos,
    long directTimeoutNanos,
    long probeTimeoutNanos,
    int indirectProbes,
    long minSuspicionNanos,
    int suspicionFactor,
    int retransmitFactor,
    int maxPiggybackBytes,
    int maxPiggybackBytesPerSecond,
    int maxPageBytes,
    long syncPeriodNanos,
    long rejoinPeriodNanos,
    long tombstoneNanos,
    int maxLoadKeys) {

  /**
   * In small clusters few messages are sent, and each may reach a node that already has the record.
   */
  private static final int MIN_RETRANSMITS = 8;

  /**
   * Returns the settings for nodes with some milliseconds of latency between them; a node uses at
   * most 5 KB per second in a cluster of 330 nodes.
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
   * Returns the time that a member has to refute a suspicion.
   *
   * @param size the number of members present
   * @return nanoseconds
   */
  long suspicionNanos(int size) {
    long scaled = (long) (suspicionFactor * powersOfTen(size) * probePeriodNanos);
    return Math.max(minSuspicionNanos, scaled);
  }

  /**
   * Returns the number of messages that carry a record.
   *
   * @param size the number of members present
   * @return at least {@value #MIN_RETRANSMITS}
   */
  int retransmits(int size) {
    return Math.max(MIN_RETRANSMITS, (int) Math.ceil(retransmitFactor * powersOfTen(size)));
  }

  private static double powersOfTen(int size) {
    return Math.log10(size + 1.0);
  }
}
