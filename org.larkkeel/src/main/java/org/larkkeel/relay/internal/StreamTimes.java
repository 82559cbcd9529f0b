/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import com.google.common.collect.Maps;
import java.util.Map;
import java.util.function.ToLongFunction;

/**
 * Compares the times for which streams had run when their upstreams crashed.
 *
 * <p>Stateless and thread-safe.
 */
final class StreamTimes {
  /**
   * The difference between the times to crashes of the same cause, beside a quarter of the
   * shortest.
   */
  private static final long ALIKE_NANOS = 15_000_000L;

  private StreamTimes() {}

  /**
   * Returns the largest number of crashes before which the streams had run for about the same time.
   * What crashes upstreams takes effect at the same point of each stream, while the streams that
   * are cut beside it had begun at any time. Of equal numbers, those after longer streams are
   * returned, since a request may have begun shortly before another one with the same part crashed
   * the upstream.
   */
  static <K, V> Map<K, V> alike(Map<K, V> crashes, ToLongFunction<V> streamedNanos) {
    Map<K, V> most = Map.of();
    long mostFrom = 0;
    for (V shortest : crashes.values()) {
      long from = streamedNanos.applyAsLong(shortest);
      Map<K, V> some = Maps.filterValues(crashes, c -> isAlike(from, streamedNanos.applyAsLong(c)));
      if (some.size() > most.size() || (some.size() == most.size() && from > mostFrom)) {
        most = some;
        mostFrom = from;
      }
    }
    return most;
  }

  private static boolean isAlike(long shortestNanos, long nanos) {
    long difference = nanos - shortestNanos;
    return difference >= 0 && difference <= shortestNanos / 4 + ALIKE_NANOS;
  }

  /** Returns whether a stream had run for long enough that something else may have ended it. */
  static boolean isInMidstream(long streamedNanos) {
    return streamedNanos > ALIKE_NANOS;
  }
}
