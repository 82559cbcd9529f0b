/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.proof.world;

import org.larkkeel.event.Event;
import org.larkkeel.event.Exposure;
import org.larkkeel.event.FailureCause;

/**
 * The channel on which an upstream answers the node that sent an attempt.
 *
 * @since 0.1
 */
interface Reply {
  /** Creates an event at the time of its delivery. */
  @FunctionalInterface
  interface EventFactory {
    Event at(long time);
  }

  /** Signals that the upstream has accepted the attempt and will execute it. */
  void accepted();

  /** Sends a piece of the answer. */
  void sendPiece(CallerRecord.Piece piece);

  /** Completes the step. */
  void complete(EventFactory event);

  /** Fails the step. */
  void fail(FailureCause cause, Exposure exposure);
}
