/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.membership;

/**
 * The time that a suspect has left to refute.
 *
 * @param askAt when the suspect is asked next
 * @param interval between two questions
 * @param deadline when a silent suspect counts as dead
 */
record Suspicion(long askAt, long interval, long deadline) {
  /** How many times the suspect is asked, plus one. */
  private static final int INTERVALS = 5;

  static Suspicion start(long now, long time) {
    long interval = time / INTERVALS;
    return new Suspicion(now + interval, interval, now + time);
  }

  Suspicion asked() {
    return new Suspicion(askAt + interval, interval, deadline);
  }

  Suspicion shift(long time) {
    return new Suspicion(askAt + time, interval, deadline + time);
  }

  long nextDeadline() {
    return Math.min(askAt, deadline);
  }
}
