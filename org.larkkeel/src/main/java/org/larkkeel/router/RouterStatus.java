/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router;

import com.google.common.collect.ImmutableList;
import org.larkkeel.lib.Revision;
import org.larkkeel.lib.UpstreamName;

/**
 * A snapshot of the state of the router for operators and metrics.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param revision the revision of the configuration in force
 * @param draining true if the node drains and refuses new requests
 * @param requests the number of requests in progress, including those that wait
 * @param queued the number of requests that wait in a lane for an upstream
 * @param attempts the number of current attempts
 * @param cancels the number of cancels that are not yet acknowledged
 * @param timers the number of set timers
 * @param upstreams the status of each upstream, ordered by name
 * @since 0.1
 */
public record RouterStatus(
    Revision revision,
    boolean draining,
    int requests,
    int queued,
    int attempts,
    int cancels,
    int timers,
    ImmutableList<UpstreamStatus> upstreams) {
  /**
   * The status of one upstream.
   *
   * @param name the name of the upstream
   * @param configured true if the configuration in force contains the upstream
   * @param ejected true if the upstream is ejected or being probed after an ejection
   * @param slots the number of slots that this node may use
   * @param freeSlots the number of these slots that are free and unreserved
   * @param outstanding the number of attempts of this node at the upstream
   * @param prefillTokensPerSecond the measured prefill speed; 0 if unknown
   * @param decodeNanosPerToken the measured mean time between tokens, in nanoseconds; 0 if unknown
   */
  public record UpstreamStatus(
      UpstreamName name,
      boolean configured,
      boolean ejected,
      int slots,
      int freeSlots,
      int outstanding,
      double prefillTokensPerSecond,
      double decodeNanosPerToken) {}
}
