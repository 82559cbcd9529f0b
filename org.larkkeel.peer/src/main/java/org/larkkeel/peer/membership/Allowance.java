/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.membership;

import java.util.concurrent.TimeUnit;

/**
 * Bounds the bytes of piggybacked records over time, so that lost messages and their repetitions do
 * not multiply them. Not safe for use by several threads.
 */
final class Allowance {
  private static final double SECOND = TimeUnit.SECONDS.toNanos(1);

  private final double rate;
  private final double burst;
  private double level;
  private long updatedAt;

  Allowance(int bytesPerSecond, long now) {
    this.rate = bytesPerSecond;
    this.burst = bytesPerSecond;
    this.level = burst;
    this.updatedAt = now;
  }

  int available(long now) {
    double gained = Math.max(0, now - updatedAt) / SECOND * rate;
    level = Math.min(burst, level + gained);
    updatedAt = Math.max(updatedAt, now);
    return (int) level;
  }

  void spend(int bytes) {
    level -= bytes;
  }
}
