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
 * The connection of a caller to a node. Each piece of a completion is delivered to the caller once,
 * identified by its index. The answer to a plain call is buffered by attempt until that attempt
 * completes the request.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
final class Connection {
  private final Call call;
  private final CallerRecord caller;
  private final Map<AttemptId, Piece> plainAnswers = new HashMap<>();
  private AttemptId current;
  private int deliveredPieces;
  private String recordedAnswer;

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

  int deliveredPieces() {
    return deliveredPieces;
  }

  void setRecordedAnswer(String answer) {
    recordedAnswer = answer;
  }

  /** Sets the attempt whose tokens are delivered to the caller. */
  void setCurrent(AttemptId attempt) {
    current = attempt;
  }

  void clearCurrent(AttemptId attempt) {
    if (attempt.equals(current)) {
      current = null;
    }
  }

  /** Accepts a piece from an attempt. Returns whether the piece was delivered to the caller. */
  boolean accept(AttemptId attempt, Piece piece) {
    if (call instanceof Call.Plain) {
      plainAnswers.put(attempt, piece);
      return false;
    }
    if (!attempt.equals(current) || piece.index() < deliveredPieces) {
      return false;
    }
    deliveredPieces = piece.index() + 1;
    caller.addPiece(piece);
    return true;
  }

  void complete(AttemptId attempt, long now) {
    Piece answer = plainAnswers.get(attempt);
    if (answer != null) {
      caller.addPiece(answer);
    }
    caller.addEnd(Ending.COMPLETE, null, now);
  }

  void replay(long now) {
    if (recordedAnswer == null) {
      refuse(ErrorKind.UNKNOWN_OUTCOME, now);
      return;
    }
    caller.addPiece(new Piece(recordedAnswer, 0));
    caller.addEnd(Ending.REPLAYED, null, now);
  }

  void refuse(ErrorKind kind, long now) {
    caller.addEnd(Ending.REFUSED, kind, now);
  }
}
