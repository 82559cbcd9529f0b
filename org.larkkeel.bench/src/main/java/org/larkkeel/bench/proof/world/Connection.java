/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.proof.world;

import java.util.HashMap;
import java.util.Map;
import org.larkkeel.bench.proof.world.CallerRecord.Ending;
import org.larkkeel.bench.proof.world.CallerRecord.Piece;
import org.larkkeel.call.Call;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.lib.AttemptId;

/**
 * The connection of a caller to a node. Pieces of a completion are passed on once, by their index;
 * the answer to a plain call is kept by its attempt until it is known to count.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
final class Connection {
  private final Call call;
  private final CallerRecord caller;
  private final Map<AttemptId, Piece> answers = new HashMap<>();
  private AttemptId current;
  private int passed;
  private String recorded;

  Connection(Call call, CallerRecord caller) {
    this.call = call;
    this.caller = caller;
  }

  Call call() {
    return call;
  }

  CallerRecord caller() {
    return caller;
  }

  boolean isRepeatable() {
    return !(call instanceof Call.Plain plain) || plain.path().equals(Configurations.READ);
  }

  int passed() {
    return passed;
  }

  void setRecorded(String answer) {
    recorded = answer;
  }

  /** Makes an attempt the one whose tokens are passed on. */
  void begin(AttemptId attempt) {
    current = attempt;
  }

  void drop(AttemptId attempt) {
    if (attempt.equals(current)) {
      current = null;
    }
  }

  /** Takes a piece; tells whether it was passed on. */
  boolean take(AttemptId attempt, Piece piece) {
    if (call instanceof Call.Plain) {
      answers.put(attempt, piece);
      return false;
    }
    if (!attempt.equals(current) || piece.index() < passed) {
      return false;
    }
    passed = piece.index() + 1;
    caller.piece(piece);
    return true;
  }

  void complete(AttemptId attempt, long now) {
    Piece whole = answers.get(attempt);
    if (whole != null) {
      caller.piece(whole);
    }
    caller.end(Ending.COMPLETE, null, now);
  }

  void replay(long now) {
    if (recorded == null) {
      refuse(ErrorKind.UNKNOWN_OUTCOME, now);
      return;
    }
    caller.piece(new Piece(recorded, 0));
    caller.end(Ending.REPLAYED, null, now);
  }

  void refuse(ErrorKind kind, long now) {
    caller.end(Ending.REFUSED, kind, now);
  }
}
