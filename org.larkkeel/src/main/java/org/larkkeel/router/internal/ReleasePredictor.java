/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

import org.larkkeel.call.Call;

/**
 * Predicts the rate at which slots of a decode engine are released.
 *
 * <p>Sums, over the requests that hold a slot, the probability that the answer ends within a time
 * window, given its length so far and the lengths of earlier answers of its route. Has no state of
 * its own.
 *
 * @since 0.1
 */
final class ReleasePredictor {
  private static final double WINDOW_NANOS = 700_000_000;

  private ReleasePredictor() {}

  /**
   * Returns the predicted rate at which slots held by this node are released.
   *
   * @param state the decode engine
   * @param now the time
   * @return slots per nanosecond
   */
  static double rate(UpstreamState state, long now) {
    double nanosPerToken = Math.max(1, state.speeds.decodeNanos(state.slots.active()));
    double windowTokens = WINDOW_NANOS / nanosPerToken;
    double expected = 0;
    for (Attempt attempt : state.attempts.values()) {
      if (attempt.kind == AttemptKind.DECODE && attempt.firstTokenAt > 0) {
        double length = attempt.resumeFrom + (now - attempt.firstTokenAt) / nanosPerToken;
        expected += endProbability(attempt.request, length, windowTokens);
      }
    }
    return expected / WINDOW_NANOS;
  }

  private static double endProbability(RequestState request, double length, double furtherTokens) {
    return switch (request.call) {
      case Call.Completion completion ->
          request.route.outputLengths.endProbability(completion.maxTokens(), length, furtherTokens);
      case Call.Plain plain -> 0;
    };
  }
}
