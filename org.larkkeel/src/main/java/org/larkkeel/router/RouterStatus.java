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
 * A view of the router for operators and metrics.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param revision the configuration in force
 * @param stopping whether new requests are refused because the node stops
 * @param requests requests in progress, those that wait included
 * @param queued requests that wait for an upstream
 * @param attempts attempts that are current
 * @param cancels cancels that are not yet acknowledged
 * @param timers timers set
 * @param upstreams one line an upstream, in order of name
 * @since 0.1
 */
public record RouterStatus(
    Revision revision,
    boolean stopping,
    int requests,
    int queued,
    int attempts,
    int cancels,
    int timers,
    ImmutableList<UpstreamStatus> upstreams) {
  /**
   * One upstream.
   *
   * @param name its name
   * @param configured whether the configuration still has it
   * @param ejected whether it gets no requests for a time
   * @param slots slots that this node may use
   * @param freeSlots those that are free
   * @param outstanding attempts of this node at it
   * @param prefillTokensPerSecond learnt rate; 0 if unknown
   * @param decodeNanosPerToken learnt time between tokens; 0 if unknown
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
