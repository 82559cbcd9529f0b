/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import java.time.Duration;
import java.util.function.Predicate;
import org.larkkeel.store.StoreVersion;

/**
 * Tells whether peers have known for some time of a change of a collection that this node has not
 * read.
 *
 * <p>A version that the store itself does not confirm is ignored, so that a wrong report has no
 * lasting effect. Not thread-safe.
 */
final class PeerLead {
  /**
   * The time within which a change that peers know is normally read here: it must be in force 2 s
   * after it was confirmed, of which the report of a peer may need half.
   */
  static final Duration MAX_LEAD = Duration.ofSeconds(1);

  private final Predicate<StoreVersion> isUnseen;
  private StoreVersion newest = StoreVersion.NONE;
  private StoreVersion ignoredUpTo = StoreVersion.NONE;
  private long sinceNanos;

  /**
   * Creates a lead without any report.
   *
   * @param isUnseen returns whether this node has not read a change
   */
  PeerLead(Predicate<StoreVersion> isUnseen) {
    this.isUnseen = isUnseen;
  }

  /** Records the newest change that a peer has seen; returns whether a lead began with it. */
  boolean reported(StoreVersion change, long nowNanos) {
    if (!change.isAfter(newest)) {
      return false;
    }
    final boolean existed = exists();
    newest = change;
    if (existed || !exists()) {
      return false;
    }
    sinceNanos = nowNanos;
    return true;
  }

  /** Returns whether a peer has seen a change that this node has not read. */
  boolean exists() {
    return newest.isAfter(ignoredUpTo) && isUnseen.test(newest);
  }

  /** Returns whether the lead has existed for too long. */
  boolean isTooLong(long nowNanos) {
    return exists() && nowNanos - sinceNanos >= MAX_LEAD.toNanos();
  }

  /** Records that the store was read since the newest report, and does not have that change. */
  void refuted() {
    ignoredUpTo = StoreVersion.max(ignoredUpTo, newest);
  }
}
