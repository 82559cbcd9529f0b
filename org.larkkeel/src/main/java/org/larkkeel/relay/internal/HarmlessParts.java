/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.larkkeel.lib.Fingerprint;
import org.larkkeel.relay.BuildName;

/**
 * The parts of prompts that upstreams have served without crashing, for each build of upstreams.
 *
 * <p>A part that crashes upstreams crashes each one that begins to run it, after about the same
 * time. So it is no suspect of the end of a stream if a much longer one has run, or was answered
 * completely, a short time ago. Parts are forgotten after a time, because the same part may be
 * harmful later, for example with other weights.
 *
 * <p>Invariant: at most {@link #MAX_PARTS} parts are known, those served last. Not thread-safe.
 */
final class HarmlessParts {
  static final int MAX_PARTS = 4_096;
  static final long RETENTION_NANOS = 60_000_000_000L;

  /** The duration of a stream that has ended with a good answer. */
  static final long COMPLETE = Long.MAX_VALUE;

  /** The duration of a stream that shows that upstreams do not crash before the first event. */
  private static final long MIN_HARMLESS_NANOS = 100_000_000L;

  /** The duration of a stream that outlives every crash for which parts are suspected. */
  private static final long OUTLIVES_ALL_NANOS = 600_000_000L;

  /** The factor by which the times to a crash may differ between upstreams and connections. */
  private static final int MAX_SPREAD = 3;

  private record Key(Fingerprint part, BuildName build) {}

  /**
   * The service of a part.
   *
   * @param at the time
   * @param streamedNanos the duration of the stream, or {@link #COMPLETE}
   */
  private record Service(long at, long streamedNanos) {}

  /** The longest service of each part within the retention time, in the order of their times. */
  private final Map<Key, Service> services = new LinkedHashMap<>();

  /**
   * Returns whether a stream with a part shows that the part did not cause a crash.
   *
   * @param streamedNanos the duration of the stream
   * @param crashNanos the duration of the stream with the part that ended with the crash
   */
  static boolean outlives(long streamedNanos, long crashNanos) {
    return streamedNanos >= OUTLIVES_ALL_NANOS
        || (streamedNanos - MIN_HARMLESS_NANOS) / MAX_SPREAD >= crashNanos;
  }

  /**
   * Records that an upstream of a build has served a request with a part.
   *
   * @param streamedNanos the time for which its stream has run, or {@link #COMPLETE}
   */
  void served(long at, Fingerprint part, BuildName build, long streamedNanos) {
    if (streamedNanos < MIN_HARMLESS_NANOS) {
      return;
    }
    Key key = new Key(part, build);
    Service known = services.get(key);
    if (known == null || !isRetained(at, known) || known.streamedNanos() <= streamedNanos) {
      services.remove(key);
      services.put(key, new Service(at, streamedNanos));
    }
    Iterator<Service> oldest = services.values().iterator();
    while (oldest.hasNext() && (!isRetained(at, oldest.next()) || services.size() > MAX_PARTS)) {
      oldest.remove();
    }
  }

  private static boolean isRetained(long at, Service service) {
    return service.at() >= at - RETENTION_NANOS;
  }

  /**
   * Returns whether upstreams of a build have served the part within the retention time, for long
   * enough to show that it did not cause a crash.
   *
   * @param crashNanos the duration of the stream with the part that ended with the crash
   */
  boolean contains(long at, Fingerprint part, BuildName build, long crashNanos) {
    Service known = services.get(new Key(part, build));
    return known != null && isRetained(at, known) && outlives(known.streamedNanos(), crashNanos);
  }
}
