/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.relay;

import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decides which new connections are closed unread while the event loop of this node is behind.
 *
 * <p>A load balancer may hand one node far more connections than it can serve. A request that was
 * read then waits here until its caller gives up, while a caller whose connection is closed before
 * its request is read tries another node at once. The share of closed connections grows while the
 * timers of the loop are late and shrinks while they are on time. The first connection after each
 * turn of the timers is accepted, so that the node is not taken for one that is down.
 *
 * <p>Confined to the thread of the loop, except for {@link #closed}.
 */
final class IntakeGate {
  /** The maximum share of new connections that are closed. */
  static final double MAX_SHARE = 0.9;

  /** The lateness of timers from which requests wait noticeably before they are read. */
  static final long LATE_NANOS = TimeUnit.MILLISECONDS.toNanos(60);

  private static final long ON_TIME_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
  private static final double INCREASE = 0.15;
  private static final double DECREASE = 0.05;
  private static final Logger log = LoggerFactory.getLogger(IntakeGate.class);

  private final SplittableRandom random;
  private double closedShare;
  private boolean admittedSinceTurn;
  private volatile long closed;

  IntakeGate(SplittableRandom random) {
    this.random = random;
  }

  /**
   * Records how late the loop ran its timers; to be called every {@link StallDetector#PERIOD}. A
   * single late turn, such as a pause of the collector, closes no connections.
   */
  void turned(long lateNanos) {
    final double before = closedShare;
    admittedSinceTurn = false;
    if (lateNanos > LATE_NANOS) {
      closedShare = Math.min(MAX_SHARE, closedShare + INCREASE);
    } else if (lateNanos < ON_TIME_NANOS) {
      closedShare = Math.max(0, closedShare - DECREASE);
    }
    if (before <= INCREASE && closedShare > INCREASE) {
      log.warn("event=intake_limited late_ms={}", TimeUnit.NANOSECONDS.toMillis(lateNanos));
    } else if (before > 0 && closedShare == 0 && closed > 0) {
      log.info("event=intake_open closed={}", closed);
    }
  }

  /** Returns whether a new connection is accepted; else it must be closed unread. */
  boolean admits() {
    if (!admittedSinceTurn || closedShare <= INCREASE || random.nextDouble() >= closedShare) {
      admittedSinceTurn = true;
      return true;
    }
    closed++;
    return false;
  }

  /** Returns the number of connections that were closed unread. */
  long closed() {
    return closed;
  }
}
