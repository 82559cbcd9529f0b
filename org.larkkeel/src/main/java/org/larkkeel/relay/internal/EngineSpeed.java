/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import org.larkkeel.balance.SlowStart;
import org.larkkeel.balance.WorkKind;

/**
 * The speed of one incarnation of an engine, as of the last refresh by {@link EngineSpeeds}, and
 * the time of its slow start.
 *
 * <p>Not thread-safe.
 */
final class EngineSpeed {
  private final long discoveredAt;
  private final long delayNanos;
  private double run = 1;
  private double prefill = 1;

  /**
   * Creates the median speed.
   *
   * @param discoveredAt the time at which the incarnation was first listed, or {@link
   *     SlowStart#ESTABLISHED} if it is not new
   * @param delayNanos the time from the discovery to the slow start while this node reserves by
   *     itself
   */
  EngineSpeed(long discoveredAt, long delayNanos) {
    this.discoveredAt = discoveredAt;
    this.delayNanos = delayNanos;
  }

  /** Returns whether the incarnation appeared while this node ran. */
  boolean isNew() {
    return discoveredAt != SlowStart.ESTABLISHED;
  }

  /** Returns the time of the slow start, or {@link SlowStart#ESTABLISHED}. */
  long startedAt(boolean reservesByItself) {
    return isNew() && reservesByItself ? discoveredAt + delayNanos : discoveredAt;
  }

  /** Returns the speed relative to the median of the service; 1 if it is not known. */
  double of(WorkKind kind) {
    return switch (kind) {
      case RUN -> run;
      case PREFILL -> prefill;
    };
  }

  void set(WorkKind kind, double speed) {
    if (kind == WorkKind.PREFILL) {
      prefill = speed;
    } else {
      run = speed;
    }
  }
}
