/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.upstream;

import java.util.concurrent.TimeUnit;

/**
 * The intervals and the timeout of polls of engines.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param loadNanos the mean interval between two polls of the load
 * @param cacheNanos the mean interval between two polls of cache events
 * @param timeoutNanos the timeout of one poll
 * @param jitter the fraction of the mean by which an interval varies to either side, from 0 to 1
 * @since 0.1
 */
public record PollSettings(long loadNanos, long cacheNanos, long timeoutNanos, double jitter) {
  /** The default: polls the load four times per second and cache events once. */
  public static final PollSettings DEFAULT =
      new PollSettings(
          TimeUnit.MILLISECONDS.toNanos(250),
          TimeUnit.SECONDS.toNanos(1),
          TimeUnit.SECONDS.toNanos(1),
          0.2);
}
