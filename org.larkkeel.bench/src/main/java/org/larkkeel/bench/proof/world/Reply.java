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
 * The way back from an upstream to the node that sent an attempt.
 *
 * @since 0.1
 */
interface Reply {
  /** Makes an event once the time of its delivery is known. */
  @FunctionalInterface
  interface Builder {
    Event at(long time);
  }

  /** The far side has taken the order and will act on it. */
  void taken();

  /** Sends a piece of the answer. */
  void piece(CallerRecord.Piece piece);

  /** Sends the last answer of the step. */
  void end(Builder event);

  /** Fails the step. */
  void fail(FailureCause cause, Exposure exposure);
}
