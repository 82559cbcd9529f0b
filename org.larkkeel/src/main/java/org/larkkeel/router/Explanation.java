/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.larkkeel.config.Role;
import org.larkkeel.lib.PoolName;
import org.larkkeel.lib.RuleName;
import org.larkkeel.lib.UpstreamName;

/**
 * The placement that the router would decide for a request, and the reasons.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param rule the rule that matches the request; empty if none does
 * @param pools the pools that the rule selects
 * @param candidates every upstream of these pools, ordered by name within each role
 * @param predictedWaitNanos the predicted time in the queue, in nanoseconds; 0 if unknown
 * @param queued the number of requests of the same route that wait now
 * @since 0.1
 */
public record Explanation(
    Optional<RuleName> rule,
    ImmutableList<PoolName> pools,
    ImmutableList<Candidate> candidates,
    long predictedWaitNanos,
    int queued) {
  /**
   * One upstream as a candidate for the request.
   *
   * @param upstream the name of the upstream
   * @param role the role in which the upstream would serve the request
   * @param verdict whether the upstream would accept the request now
   * @param freeSlots the number of free, unreserved slots that this node may use
   * @param outstanding the number of attempts of this node at the upstream
   * @param predictedNanos the predicted duration of its part of the work, in nanoseconds
   */
  public record Candidate(
      UpstreamName upstream,
      Role role,
      Verdict verdict,
      int freeSlots,
      int outstanding,
      long predictedNanos) {}

  /** The verdict on an upstream: whether it would accept a request now, and if not, why. */
  public enum Verdict {
    /** The upstream would accept the request. */
    FITS,
    /** The upstream has no free capacity. */
    FULL,
    /** The upstream is ejected after failures and gets no requests for a time. */
    EJECTED,
    /** The upstream is declared for other models, or reported that it has not loaded this one. */
    OTHER_MODEL
  }
}
