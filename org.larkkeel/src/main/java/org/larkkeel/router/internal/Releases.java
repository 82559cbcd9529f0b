/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

import org.larkkeel.call.Call;

/**
 * Predicts how many slots of a decode engine come free soon.
 *
 * <p>Looks at each request that holds one: how long it has generated, and how long answers of its
 * route are. Stateless apart from what it reads.
 *
 * @since 0.1
 */
final class Releases {
  private static final double WINDOW_NANOS = 700_000_000;

  private Releases() {}

  /**
   * The rate at which slots of this node come free.
   *
   * @param state the engine
   * @param now the time
   * @return slots a nanosecond
   */
  static double rate(UpstreamState state, long now) {
    double step = Math.max(1, state.rates.decodeNanos(state.slots.active()));
    double more = WINDOW_NANOS / step;
    double expected = 0;
    for (Attempt attempt : state.attempts.values()) {
      if (attempt.kind == AttemptKind.DECODE && attempt.firstTokenAt > 0) {
        double passed = attempt.resumeFrom + (now - attempt.firstTokenAt) / step;
        expected += chance(attempt.request, passed, more);
      }
    }
    return expected / WINDOW_NANOS;
  }

  private static double chance(RequestState request, double passed, double more) {
    return switch (request.call) {
      case Call.Completion completion ->
          request.route.lengths.chanceToEnd(completion.maxTokens(), passed, more);
      case Call.Plain plain -> 0;
    };
  }
}
