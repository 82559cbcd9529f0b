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
 * Why a request would go where.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param rule the rule that takes it; empty if none does
 * @param pools the pools of that rule
 * @param candidates every upstream of those pools, in order of name
 * @param predictedWaitNanos how long it would wait in the queue
 * @param queued requests of the same kind that wait now
 * @since 0.1
 */
public record Explanation(
    Optional<RuleName> rule,
    ImmutableList<PoolName> pools,
    ImmutableList<Candidate> candidates,
    long predictedWaitNanos,
    int queued) {
  /**
   * What is known of one upstream with regard to the request.
   *
   * @param upstream the upstream
   * @param role what it would do
   * @param verdict whether it would take the request now
   * @param freeSlots free slots that this node may use
   * @param outstanding attempts of this node at it
   * @param predictedNanos predicted time of its part of the work
   */
  public record Candidate(
      UpstreamName upstream,
      Role role,
      Verdict verdict,
      int freeSlots,
      int outstanding,
      long predictedNanos) {}

  /** Whether an upstream would take a request now. */
  public enum Verdict {
    /** It would take it. */
    FITS,
    /** All its places are taken. */
    FULL,
    /** It failed repeatedly and gets no requests for a time. */
    EJECTED,
    /** It is declared for other models, or has not loaded this one. */
    OTHER_MODEL
  }
}
