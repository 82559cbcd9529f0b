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
 * Information to log or count, which requires no other action.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @since 0.1
 */
public sealed interface Fact {
  /**
   * A request was answered completely.
   *
   * @param request the request
   * @param rule its rule
   * @param withinTargets true if it met its latency targets
   * @param firstNanos the time from arrival to the first token, or to the answer of a plain call
   * @param interTokenNanos the mean time between tokens; 0 if there was one token
   * @param tokens the number of tokens of the answer
   */
  record Answered(
      RequestId request,
      RuleName rule,
      boolean withinTargets,
      long firstNanos,
      long interTokenNanos,
      int tokens)
      implements Fact {}

  /**
   * A request was refused.
   *
   * @param request the request
   * @param kind the kind of the error
   */
  record Refused(RequestId request, ErrorKind kind) implements Fact {}

  /**
   * An attempt was placed.
   *
   * @param request the request
   * @param attempt the attempt
   * @param upstream the chosen upstream
   */
  record Placed(RequestId request, AttemptId attempt, UpstreamName upstream) implements Fact {}

  /**
   * An attempt failed and will be followed by another one.
   *
   * @param request the request
   * @param attempt the failed attempt
   * @param upstream the upstream where it failed
   * @param cause the cause of the failure
   */
  record Retried(RequestId request, AttemptId attempt, UpstreamName upstream, FailureCause cause)
      implements Fact {}

  /**
   * The result of a prefill was not used.
   *
   * @param request the request
   * @param attempt the prefill attempt
   * @param upstream the prefill engine
   * @param tokens the number of prompt tokens that were computed
   */
  record PrefillWasted(RequestId request, AttemptId attempt, UpstreamName upstream, int tokens)
      implements Fact {}

  /**
   * The result of a prefill was used.
   *
   * @param request the request
   * @param attempt the prefill attempt
   * @param upstream the prefill engine
   * @param tokens the number of prompt tokens that were computed
   */
  record PrefillUsed(RequestId request, AttemptId attempt, UpstreamName upstream, int tokens)
      implements Fact {}

  /**
   * An upstream was ejected after repeated failures and gets no requests for a time.
   *
   * @param upstream the upstream
   * @param forNanos the duration
   */
  record Ejected(UpstreamName upstream, long forNanos) implements Fact {}

  /**
   * An ejected upstream was restored after a successful probe.
   *
   * @param upstream the upstream
   */
  record Restored(UpstreamName upstream) implements Fact {}

  /**
   * A configuration came into force on this node.
   *
   * @param revision its revision
   */
  record InForce(Revision revision) implements Fact {}

  /**
   * A pool has no upstream that accepts requests.
   *
   * @param pool the pool
   */
  record PoolEmpty(PoolName pool) implements Fact {}
}
