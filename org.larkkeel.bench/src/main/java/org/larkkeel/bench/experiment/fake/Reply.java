/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.fake;

import org.larkkeel.event.Event;
import org.larkkeel.event.Exposure;
import org.larkkeel.event.FailureCause;

/**
 * Carries the results of one attempt back to its node, which receives them a latency later.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
interface Reply {
  /** Builds an event once the time of its delivery is known. */
  @FunctionalInterface
  interface Builder {
    Event at(long time);
  }

  /** Sends a result after which the attempt's step goes on. */
  void progress(Builder event);

  /** Sends the last result of the attempt's step. */
  void end(Builder event);

  /** Fails the attempt's step; {@code tokens} of the whole answer were passed on. */
  void fail(FailureCause cause, Exposure exposure, int tokens);
}
