/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.upstream;

import java.util.concurrent.TimeUnit;

/**
 * How often engines are polled.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param loadNanos mean time between two polls of the load
 * @param cacheNanos mean time between two polls of cache events
 * @param timeoutNanos limit of one poll
 * @param jitter the share of the mean by which a time varies to either side, from 0 to 1
 * @since 0.1
 */
public record PollSettings(long loadNanos, long cacheNanos, long timeoutNanos, double jitter) {
  /** Load four times a second, cache events once. */
  public static final PollSettings DEFAULT =
      new PollSettings(
          TimeUnit.MILLISECONDS.toNanos(250),
          TimeUnit.SECONDS.toNanos(1),
          TimeUnit.SECONDS.toNanos(1),
          0.2);
}
