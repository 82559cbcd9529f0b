/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.OptionalLong;

/**
 * The pace of the stream of one attempt.
 *
 * <p>Invariant: a measured window begins and ends with the arrival of events, so that it contains
 * whole intervals only. Not thread-safe.
 */
final class RunPace {
  /**
   * The minimum length of a window, so that some events are in most windows and a slow-down shows
   * in several of them within 2 s.
   */
  private static final long WINDOW_NANOS = 250_000_000L;

  private long startedAt = Long.MIN_VALUE;
  private int events;

  /** Starts again, for another attempt. */
  void reset() {
    startedAt = Long.MIN_VALUE;
  }

  /**
   * Counts events of the stream.
   *
   * @param at the time at which they arrived
   * @param count the number of events since the previous call
   * @return the time for each event, in nanoseconds, if a window has ended
   */
  OptionalLong progressed(long at, int count) {
    if (startedAt == Long.MIN_VALUE) {
      startedAt = at;
      events = 0;
      return OptionalLong.empty();
    }
    events += count;
    if (at - startedAt < WINDOW_NANOS || events == 0) {
      return OptionalLong.empty();
    }
    long nanosPerEvent = (at - startedAt) / events;
    startedAt = at;
    events = 0;
    return OptionalLong.of(nanosPerEvent);
  }
}
