/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.membership;

/**
 * The deadlines of one suspicion. Times are nanoseconds.
 *
 * @param pingAt the time of the next ping to the suspect
 * @param intervalNanos the interval between two pings
 * @param deadline the time when the suspect is declared dead unless it refutes
 */
record Suspicion(long pingAt, long intervalNanos, long deadline) {
  /** The number of pings to the suspect before the deadline, plus one. */
  private static final int INTERVALS = 5;

  static Suspicion start(long now, long durationNanos) {
    long intervalNanos = durationNanos / INTERVALS;
    return new Suspicion(now + intervalNanos, intervalNanos, now + durationNanos);
  }

  Suspicion pinged() {
    return new Suspicion(pingAt + intervalNanos, intervalNanos, deadline);
  }

  Suspicion postponed(long delayNanos) {
    return new Suspicion(pingAt + delayNanos, intervalNanos, deadline + delayNanos);
  }

  long nextDeadline() {
    return Math.min(pingAt, deadline);
  }
}
