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
 * Sends the results of one attempt to its node, which receives them after the network latency.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
interface Reply {
  /** Builds an event for the time of its delivery. */
  @FunctionalInterface
  interface EventBuilder {
    Event at(long time);
  }

  /** Sends an intermediate result of the attempt's step. */
  void progress(EventBuilder event);

  /** Sends the last result of the attempt's step. */
  void end(EventBuilder event);

  /** Fails the attempt's step after {@code tokens} of the complete answer were forwarded. */
  void fail(FailureCause cause, Exposure exposure, int tokens);
}
