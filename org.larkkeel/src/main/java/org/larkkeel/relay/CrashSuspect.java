/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import org.larkkeel.lib.Fingerprint;
import org.larkkeel.lib.UpstreamIncarnation;

/**
 * What nodes know of something that upstreams had in progress when they crashed: a request, or a
 * part that the prompts of several requests have in common.
 *
 * <p>Two records of the same suspect are merged: only the one with the later clearance epoch
 * counts, and within one epoch the crashes of both count. Immutable and safe for use by several
 * threads.
 *
 * @param id the fingerprint of the request or of the part
 * @param scope what the suspect is
 * @param clearanceEpoch the clearance epoch: the number of times the suspect was proven harmless or
 *     released, from 0; only crashes since the last time count
 * @param crashes the crash of each upstream incarnation
 * @param wider the suspects of a wider scope that it was seen with: the parts of the prompt of a
 *     request, or the parts before a part; at most {@link #MAX_WIDER}
 * @since 0.1
 */
public record CrashSuspect(
    Fingerprint id,
    SuspectScope scope,
    int clearanceEpoch,
    ImmutableMap<UpstreamIncarnation, Crash> crashes,
    ImmutableSet<Fingerprint> wider) {
  /** The maximum number of wider suspects. */
  public static final int MAX_WIDER = 8;

  /**
   * A crash of an upstream that had the suspect.
   *
   * @param ageNanos the time since the crash
   * @param sentAgeNanos the time since the suspect was last sent to that upstream
   * @param streamedNanos the time for which its stream had run; 0 before the first event
   */
  public record Crash(long ageNanos, long sentAgeNanos, long streamedNanos) {
    /**
     * Validates the times.
     *
     * @throws IllegalArgumentException if a time is negative
     */
    public Crash {
      if (ageNanos < 0 || sentAgeNanos < 0 || streamedNanos < 0) {
        throw new IllegalArgumentException(
            "a crash is %d ns old, its send %d ns, and its stream ran for %d ns: use 0 or more"
                .formatted(ageNanos, sentAgeNanos, streamedNanos));
      }
    }

    /** Creates a crash before the first event. */
    public Crash(long ageNanos, long sentAgeNanos) {
      this(ageNanos, sentAgeNanos, 0);
    }
  }

  /**
   * Validates the numbers.
   *
   * @throws IllegalArgumentException if the epoch is negative or there are too many wider suspects
   */
  public CrashSuspect {
    if (clearanceEpoch < 0 || wider.size() > MAX_WIDER) {
      throw new IllegalArgumentException(
          "the suspect %s has epoch %d and %d wider suspects: use 0 or more, and up to %d"
              .formatted(id, clearanceEpoch, wider.size(), MAX_WIDER));
    }
  }
}
