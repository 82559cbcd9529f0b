/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.relay;

import java.time.Duration;
import java.util.function.LongSupplier;

/**
 * Detects that an event loop was held up, so that its timers did not run and its connections were
 * not read: its processor was full, a handler did not return, or the machine was suspended.
 *
 * <p>Confined to the thread of the loop.
 */
final class StallDetector {
  /** The period of {@link #turned}. */
  static final Duration PERIOD = Duration.ofMillis(100);

  /**
   * The minimum stall that is reported. A change of the store has to be in force within 2 s, of
   * which delivery needs the most.
   */
  static final Duration MIN_STALL = Duration.ofMillis(500);

  private final LongSupplier clock;
  private long lastTurnNanos;
  private boolean started;

  StallDetector(LongSupplier clock) {
    this.clock = clock;
  }

  /**
   * Returns the time since the last call of {@link #turned} if it is a stall that was not returned
   * before, else 0.
   */
  long takeStallNanos() {
    long now = clock.getAsLong();
    long nanos = now - lastTurnNanos;
    if (!started || nanos < MIN_STALL.toNanos()) {
      return 0;
    }
    lastTurnNanos = now;
    return nanos;
  }

  /**
   * Records that the loop runs its timers; to be called every {@link #PERIOD}.
   *
   * @return how late it runs them, in nanoseconds; 0 or less if it is on time
   */
  long turned() {
    long now = clock.getAsLong();
    long late = started ? now - lastTurnNanos - PERIOD.toNanos() : 0;
    lastTurnNanos = now;
    started = true;
    return late;
  }
}
