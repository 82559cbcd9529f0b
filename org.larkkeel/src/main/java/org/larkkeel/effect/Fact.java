/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.effect;

import org.larkkeel.errors.ErrorKind;
import org.larkkeel.event.FailureCause;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.lib.PoolName;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.Revision;
import org.larkkeel.lib.RuleName;
import org.larkkeel.lib.UpstreamName;

/**
 * Something worth counting or logging that changes nothing outside.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @since 0.1
 */
public sealed interface Fact {
  /**
   * A request was answered in full.
   *
   * @param request the request
   * @param rule its rule
   * @param withinTargets whether it met its latency targets
   * @param firstNanos from arrival to the first token, or to the answer of a plain call
   * @param betweenNanos mean time between tokens; 0 if there was one
   * @param tokens tokens of the answer
   */
  record Answered(
      RequestId request,
      RuleName rule,
      boolean withinTargets,
      long firstNanos,
      long betweenNanos,
      int tokens)
      implements Fact {}

  /**
   * A request was refused.
   *
   * @param request the request
   * @param kind why
   */
  record Refused(RequestId request, ErrorKind kind) implements Fact {}

  /**
   * An attempt was placed.
   *
   * @param request the request
   * @param attempt the attempt
   * @param upstream where
   */
  record Placed(RequestId request, AttemptId attempt, UpstreamName upstream) implements Fact {}

  /**
   * An attempt failed and another will be made.
   *
   * @param request the request
   * @param attempt the failed attempt
   * @param upstream where it failed
   * @param cause why
   */
  record Retried(RequestId request, AttemptId attempt, UpstreamName upstream, FailureCause cause)
      implements Fact {}

  /**
   * Prefill work was done in vain.
   *
   * @param request the request
   * @param attempt the prefill attempt
   * @param upstream the prefill engine
   * @param tokens prompt tokens computed
   */
  record PrefillWasted(RequestId request, AttemptId attempt, UpstreamName upstream, int tokens)
      implements Fact {}

  /**
   * Prefill work was used.
   *
   * @param request the request
   * @param attempt the prefill attempt
   * @param upstream the prefill engine
   * @param tokens prompt tokens computed
   */
  record PrefillUsed(RequestId request, AttemptId attempt, UpstreamName upstream, int tokens)
      implements Fact {}

  /**
   * An upstream gets no requests for a time because it failed repeatedly.
   *
   * @param upstream the upstream
   * @param forNanos how long
   */
  record Ejected(UpstreamName upstream, long forNanos) implements Fact {}

  /**
   * An ejected upstream is back after a probe.
   *
   * @param upstream the upstream
   */
  record Restored(UpstreamName upstream) implements Fact {}

  /**
   * A configuration is in force on this node.
   *
   * @param revision its revision
   */
  record InForce(Revision revision) implements Fact {}

  /**
   * A pool has no upstream that takes requests.
   *
   * @param pool the pool
   */
  record PoolEmpty(PoolName pool) implements Fact {}
}
