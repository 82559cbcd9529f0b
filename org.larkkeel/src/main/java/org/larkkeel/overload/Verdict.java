/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.overload;

import java.util.OptionalLong;

/**
 * The decision about a call that found no free capacity.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @since 0.1
 */
public sealed interface Verdict {
  /** Nothing was measured yet, so that the time-outs of the call's node decide. */
  record NoForecast() implements Verdict {}

  /**
   * The call waits.
   *
   * @param group the calls among which it waits
   * @param forecastNanos the forecast time until its reservation
   * @param marginNanos the margin that was added to the forecast
   * @param limitAt the time at which it is judged again at the latest
   */
  record Wait(WaitGroup group, long forecastNanos, long marginNanos, long limitAt)
      implements Verdict {}

  /**
   * The call is rejected.
   *
   * @param forecastNanos the forecast time until its reservation, had it waited
   * @param marginNanos the margin that was added to the forecast
   * @param limitAt the limit that the forecast exceeds
   * @param retryAfterNanos the time after which capacity is forecast for the caller's retry; empty
   *     if none is within the time for which callers honour a Retry-After
   */
  record Reject(long forecastNanos, long marginNanos, long limitAt, OptionalLong retryAfterNanos)
      implements Verdict {}
}
