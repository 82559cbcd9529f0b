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
 * <p>A part that crashes upstreams crashes each one that begins to run it, so one that was served a
 * short time ago is no suspect. Parts are forgotten after a time, because the same part may be
 * harmful later, for example with other weights.
 *
 * <p>Invariant: at most {@link #MAX_PARTS} parts are known, those served last. Not thread-safe.
 */
final class HarmlessParts {
  static final int MAX_PARTS = 4_096;
  static final long RETENTION_NANOS = 60_000_000_000L;

  private record Key(Fingerprint part, BuildName build) {}

  /** The time at which each part was last served, in the order of these times. */
  private final Map<Key, Long> servedAt = new LinkedHashMap<>();

  /** Records that an upstream of a build has served a request with a part. */
  void served(long at, Fingerprint part, BuildName build) {
    Key key = new Key(part, build);
    servedAt.remove(key);
    servedAt.put(key, at);
    Iterator<Long> oldest = servedAt.values().iterator();
    while (oldest.hasNext()
        && (oldest.next() < at - RETENTION_NANOS || servedAt.size() > MAX_PARTS)) {
      oldest.remove();
    }
  }

  /** Returns whether upstreams of a build have served the part within the retention time. */
  boolean contains(long at, Fingerprint part, BuildName build) {
    Long served = servedAt.get(new Key(part, build));
    return served != null && served >= at - RETENTION_NANOS;
  }
}
