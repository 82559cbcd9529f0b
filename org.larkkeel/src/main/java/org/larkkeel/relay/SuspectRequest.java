/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import com.google.common.collect.ImmutableMap;
import org.larkkeel.lib.Fingerprint;
import org.larkkeel.lib.UpstreamIncarnation;

/**
 * A request that was in progress at upstreams that crashed, as nodes exchange it.
 *
 * <p>Two records of the same request are merged: only the one with the later clearance epoch
 * counts, and within one epoch the crashes of both count. Immutable and safe for use by several
 * threads.
 *
 * @param request the fingerprint of the request
 * @param clearanceEpoch the clearance epoch: the number of times the request was proven harmless or
 *     released, from 0; only crashes since the last time count
 * @param crashes the age of the crash of each upstream incarnation, in nanoseconds
 * @since 0.1
 */
public record SuspectRequest(
    Fingerprint request, int clearanceEpoch, ImmutableMap<UpstreamIncarnation, Long> crashes) {
  /** The number of crashes from which a request is quarantined; two may be a coincidence. */
  public static final int CRASHES_TO_QUARANTINE = 3;

  /**
   * Validates the numbers.
   *
   * @throws IllegalArgumentException if a number is negative
   */
  public SuspectRequest {
    if (clearanceEpoch < 0 || crashes.values().stream().anyMatch(age -> age < 0)) {
      throw new IllegalArgumentException(
          "the suspect request " + request + " has a negative epoch or age: use 0 or more");
    }
  }

  /** Returns whether there are enough crashes for a quarantine, which may have ended. */
  public boolean isQuarantined() {
    return crashes.size() >= CRASHES_TO_QUARANTINE;
  }
}
