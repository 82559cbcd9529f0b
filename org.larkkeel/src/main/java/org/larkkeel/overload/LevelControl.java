/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.overload;

import java.util.NavigableMap;
import java.util.Optional;

/**
 * Decides at the node that orders the queue of a service which admission level it announces.
 *
 * <p>The level rises from the least urgent rank by one rank at a time, and is lifted in the
 * opposite order. The times for which a condition must hold, and the distance between the two
 * conditions, prevent that it changes with single calls. Not thread-safe.
 *
 * @param <R> the type of ranks; a smaller rank is more urgent
 * @since 0.1
 */
public final class LevelControl<R extends Comparable<R>> {
  /** The time for which calls of a rank must be rejected before the level includes it. */
  public static final long RAISE_NANOS = 100_000_000L;

  /** The time for which a rank must be forecast as calm before the level no longer includes it. */
  public static final long LIFT_NANOS = 200_000_000L;

  private static final int CALM_PARTS = 2;
  private static final long NEVER = Long.MIN_VALUE;

  private R cutoff;
  private long rejectedSince = NEVER;
  private long calmSince = NEVER;

  /**
   * The forecast for a first try of a rank that arrives now.
   *
   * @param waitNanos the forecast wait with its margin
   * @param limitNanos the limit of the call, from its arrival
   */
  public record RankForecast(long waitNanos, long limitNanos) {
    private boolean isRejected() {
      return waitNanos > limitNanos;
    }

    private boolean isCalm() {
      return waitNanos < limitNanos / CALM_PARTS;
    }
  }

  /**
   * Updates the level.
   *
   * @param at now
   * @param forecasts the forecast for each rank of the service; empty if there is no forecast
   * @return the level to announce; empty for none
   */
  public Optional<AdmissionLevel<R>> update(long at, NavigableMap<R, RankForecast> forecasts) {
    if (forecasts.isEmpty()) {
      cutoff = null;
      rejectedSince = NEVER;
      calmSince = NEVER;
      return Optional.empty();
    }
    raise(at, forecasts);
    lift(at, forecasts);
    if (cutoff == null) {
      return Optional.empty();
    }
    RankForecast atCutoff = forecasts.ceilingEntry(cutoff).getValue();
    return Optional.of(new AdmissionLevel<>(cutoff, atCutoff.waitNanos(), at));
  }

  private void raise(long at, NavigableMap<R, RankForecast> forecasts) {
    R next = cutoff == null ? forecasts.lastKey() : forecasts.lowerKey(cutoff);
    if (next == null || !forecasts.get(next).isRejected()) {
      rejectedSince = NEVER;
    } else if (rejectedSince == NEVER) {
      rejectedSince = at;
    } else if (at - rejectedSince >= RAISE_NANOS) {
      cutoff = next;
      rejectedSince = NEVER;
      calmSince = NEVER;
    }
  }

  private void lift(long at, NavigableMap<R, RankForecast> forecasts) {
    if (cutoff != null && forecasts.ceilingKey(cutoff) == null) {
      cutoff = null;
    }
    if (cutoff == null || !forecasts.ceilingEntry(cutoff).getValue().isCalm()) {
      calmSince = NEVER;
    } else if (calmSince == NEVER) {
      calmSince = at;
    } else if (at - calmSince >= LIFT_NANOS) {
      cutoff = forecasts.higherKey(cutoff);
      calmSince = NEVER;
      rejectedSince = NEVER;
    }
  }
}
