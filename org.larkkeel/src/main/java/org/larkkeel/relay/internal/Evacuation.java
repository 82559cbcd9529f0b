/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.relay.AnswerGrade;
import org.larkkeel.relay.MoveStep;

/**
 * The runs that are moving to another upstream.
 *
 * <p>A move has two steps: the memory is copied while the run goes on, which proves that the
 * destination has room and makes the second step short; then the run stops and the rest is copied.
 * It is over once both the copy and the end of the stream are there.
 *
 * <p>Invariant: room is set aside at the destination for each move until it is removed. Not safe
 * for use by several threads.
 */
final class Evacuation {
  private final Map<AttemptId, Move> moves = new HashMap<>();

  /** One run that moves. */
  static final class Move {
    final AttemptState attempt;
    final UpstreamState destination;
    final long units;
    MoveStep step = MoveStep.COPY;
    Optional<String> handle = Optional.empty();
    boolean streamEnded;

    /** What the end of the stream would mean without the move; empty if it was lost. */
    Optional<AnswerGrade> answered = Optional.empty();

    Move(AttemptState attempt, UpstreamState destination, long units) {
      this.attempt = attempt;
      this.destination = destination;
      this.units = units;
    }

    /** Whether the run may go on at the destination. */
    boolean isOver() {
      return step == MoveStep.STOP && handle.isPresent() && streamEnded;
    }
  }

  /** Begins a move and sets room aside. */
  Move begin(AttemptState attempt, UpstreamState destination, long units) {
    Move move = new Move(attempt, destination, units);
    destination.addLoad(units);
    moves.put(attempt.id(), move);
    return move;
  }

  /** The move of an attempt; null if it does not move. */
  Move find(AttemptId attempt) {
    return moves.get(attempt);
  }

  /** Ends a move and gives its room back; null if there is none. */
  Move remove(AttemptId attempt) {
    Move move = moves.remove(attempt);
    if (move != null) {
      move.destination.addLoad(-move.units);
    }
    return move;
  }
}
