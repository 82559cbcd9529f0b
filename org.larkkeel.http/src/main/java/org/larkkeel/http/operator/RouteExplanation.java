/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.operator;

import java.util.List;
import org.larkkeel.config.Role;
import org.larkkeel.lib.PoolName;
import org.larkkeel.lib.UpstreamName;

/**
 * The explanation of a routing decision, based on one node's known state.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param rule the name of the matching rule; empty if no rule matches
 * @param pools the pools of the matching rule
 * @param candidates all upstreams of those pools, ordered by name
 * @param predictedWaitMillis the predicted time of the request in the queue
 * @param queued the number of queued requests of the same kind
 * @since 0.1
 */
public record RouteExplanation(
    String rule,
    List<PoolName> pools,
    List<Candidate> candidates,
    double predictedWaitMillis,
    int queued) {
  /** Makes defensive copies of the lists. */
  public RouteExplanation {
    pools = List.copyOf(pools);
    candidates = List.copyOf(candidates);
  }

  /**
   * The evaluation of one upstream for the request.
   *
   * @param upstream the upstream
   * @param role the part of the work that the upstream would do
   * @param verdict whether the upstream could take the request now
   * @param freeSlots the number of free slots that this node may use
   * @param outstanding the number of this node's attempts in progress at the upstream
   * @param predictedMillis the predicted duration of the upstream's part of the work
   */
  public record Candidate(
      UpstreamName upstream,
      Role role,
      Verdict verdict,
      int freeSlots,
      int outstanding,
      double predictedMillis) {}

  /** Whether an upstream could take a request now, or the reason why not. */
  public enum Verdict {
    /** The upstream can take the request. */
    FITS,
    /** The upstream has no free capacity. */
    FULL,
    /** The upstream failed repeatedly and temporarily gets no requests. */
    EJECTED,
    /** The upstream is configured for other models or has not loaded the requested one. */
    OTHER_MODEL,
    /** The upstream is leaving and gets no new requests. */
    LEAVING
  }
}
