/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.relay.AnswerGrade;
import org.larkkeel.relay.MoveResult;
import org.larkkeel.relay.MoveStep;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RelayFact;

/**
 * Moves runs off leaving upstreams, together with their memory.
 *
 * <p>A move has two steps: first the memory is copied while the run continues, which proves that
 * the destination has capacity and makes the second step short; then the run stops and the rest is
 * copied. A move is finished once the copy is complete and the stream has ended.
 *
 * <p>Invariants: memory is reserved at the destination of each move until the move is finished; the
 * end of a stream that may have been stopped is not taken for the end of its answer, as streams
 * without a length look complete; a copy is used by the attempt that continues from it, or freed
 * when its move or that attempt ends, or when the answer that names the copy arrives later; nothing
 * is freed at an upstream that has restarted, as the handle may name memory of another call now.
 * Not thread-safe.
 */
final class Evacuation {
  private static final long MILLI = 1_000_000L;

  /** The time that runs at a leaving upstream get to finish there before they are moved. */
  private static final long START_DELAY_NANOS = 1_200 * MILLI;

  /** The delay before runs that could not be moved are tried again. */
  private static final long RETRY_DELAY_NANOS = 200 * MILLI;

  /** The timeout of the second step of a move, after which the run is abandoned. */
  private static final long STOP_TIMEOUT_NANOS = 1_000 * MILLI;

  private final UpstreamTable upstreams;
  private final Timers timers;
  private final Runs runs;
  private final Map<AttemptId, Move> moves = new HashMap<>();

  /** The copies for which an answer is outstanding, by the attempt to be moved. */
  private final Map<AttemptId, RunCopy> pendingCopies = new HashMap<>();

  /** The copies from which an attempt is to continue that has not begun yet, by that attempt. */
  private final Map<AttemptId, RunCopy> unusedCopies = new HashMap<>();

  /** The attempts that may have been stopped and for which there is no copy. */
  private final Set<AttemptId> maybeStopped = new HashSet<>();

  /** Access to the runs. */
  interface Runs {
    /** Returns all attempts in flight. */
    List<AttemptState> attempts();

    /** Returns whether an attempt is a run that can be moved. */
    boolean canMove(long at, AttemptState attempt);

    /** Returns the destination for a run; empty if no upstream has capacity. */
    Optional<UpstreamState> destination(long at, AttemptState attempt);

    /**
     * Handles the end of an attempt's stream.
     *
     * @param grade the grade of the answer; empty if the stream was lost before its end
     */
    void streamEnded(long at, AttemptId attempt, Optional<AnswerGrade> grade);

    /** Returns the permit to continue a run elsewhere; empty if the retry budget is spent. */
    Optional<RetryPermit> permitContinuation(long at, AttemptState attempt);

    /**
     * Continues a run from its copy; returns the attempt that continues it, or empty if none was
     * sent.
     */
    Optional<AttemptId> continueRun(long at, Move move, String handle);

    /** Emits an effect. */
    void emit(RelayEffect effect);
  }

  /** The move of one run. */
  static final class Move {
    final AttemptState attempt;
    final UpstreamState destination;
    final long reservedUnits;
    private final RunCopy copy;
    private MoveStep step = MoveStep.COPY;
    private boolean copied;

    /** The permit of the attempt that continues the run; empty before the run is stopped. */
    private Optional<RetryPermit> permit = Optional.empty();

    private boolean streamEnded;

    /**
     * The grade that the end of the stream would have without the move; empty if the stream was
     * lost.
     */
    private Optional<AnswerGrade> endGrade = Optional.empty();

    private Move(AttemptState attempt, UpstreamState destination, RunCopy copy) {
      this.attempt = attempt;
      this.destination = destination;
      this.copy = copy;
      this.reservedUnits = CallDemands.memoryTokens(attempt.call());
    }

    Optional<RetryPermit> permit() {
      return permit;
    }
  }

  Evacuation(UpstreamTable upstreams, Timers timers, Runs runs) {
    this.upstreams = upstreams;
    this.timers = timers;
    this.runs = runs;
  }

  /**
   * Schedules the evacuation of upstreams that are leaving or missing and have none scheduled yet.
   */
  void scheduleEvacuations(long at) {
    for (UpstreamState s : upstreams.beginEvacuations()) {
      timers.add(new Timers.Timer.EvacuationStart(at + START_DELAY_NANOS, s.incarnation()));
    }
  }

  /** Starts to move the runs that are left at an upstream. */
  void moveRuns(long at, UpstreamIncarnation incarnation) {
    Optional<UpstreamState> source = upstreams.find(incarnation);
    if (source.isEmpty()) {
      return;
    }
    UpstreamState s = source.get();
    if (!s.isLeavingOrMissing() || s.inFlight() == 0) {
      s.endEvacuation();
      return;
    }
    for (AttemptState a : runs.attempts()) {
      if (a.upstream() == s && !isMoving(a.id()) && runs.canMove(at, a)) {
        runs.destination(at, a).ifPresent(to -> startMove(a, to));
      }
    }
    timers.add(new Timers.Timer.EvacuationStart(at + RETRY_DELAY_NANOS, incarnation));
  }

  /**
   * Returns whether an attempt is being moved, or an answer to an earlier move of it may still
   * arrive.
   */
  private boolean isMoving(AttemptId id) {
    return moves.containsKey(id) || pendingCopies.containsKey(id);
  }

  private void startMove(AttemptState a, UpstreamState destination) {
    Move move = new Move(a, destination, new RunCopy(handle -> free(a.upstream(), handle)));
    destination.addLoad(move.reservedUnits);
    moves.put(a.id(), move);
    requestStep(move);
  }

  private void requestStep(Move move) {
    AttemptState a = move.attempt;
    pendingCopies.put(a.id(), move.copy);
    runs.emit(
        new RelayEffect.Move(
            a.id(),
            a.call().call.id(),
            a.upstream().upstream(),
            move.destination.upstream(),
            move.step));
  }

  /** Handles the result of a step. */
  void moved(long at, AttemptId id, MoveResult result) {
    RunCopy copy = pendingCopies.remove(id);
    if (copy != null && result instanceof MoveResult.Copied c) {
      copy.addHandle(c.handle());
    }
    Move move = moves.get(id);
    if (copy != null && move != null) {
      stepFinished(at, move, result);
    }
  }

  private void stepFinished(long at, Move move, MoveResult result) {
    AttemptState a = move.attempt;
    runs.emit(
        new RelayEffect.Report(
            new RelayFact.RunMoved(
                a.call().call.wireId(),
                a.id(),
                a.upstream().upstream().name(),
                move.destination.upstream().name(),
                move.step,
                result)));
    switch (result) {
      case MoveResult.Copied c when move.step == MoveStep.COPY -> stop(at, move);
      case MoveResult.Copied c -> {
        move.copied = true;
        continueIfFinished(at, move);
      }
      case MoveResult.NoRun n -> moveFailed(at, move, move.endGrade);
      case MoveResult.Failed f -> {
        markMaybeStopped(move);
        moveFailed(at, move, Optional.empty());
      }
    }
  }

  /** Stops a run if it may continue elsewhere; otherwise it goes on where it is. */
  private void stop(long at, Move move) {
    move.permit = runs.permitContinuation(at, move.attempt);
    if (move.permit.isEmpty()) {
      abandon(move);
      return;
    }
    move.step = MoveStep.STOP;
    timers.add(new Timers.Timer.MoveTimeout(at + STOP_TIMEOUT_NANOS, move.attempt.id()));
    requestStep(move);
  }

  private void markMaybeStopped(Move move) {
    if (move.step == MoveStep.STOP) {
      maybeStopped.add(move.attempt.id());
    }
  }

  /** Abandons a move without a copy: the run continues where it is, unless its stream has ended. */
  private void moveFailed(long at, Move move, Optional<AnswerGrade> grade) {
    abandon(move);
    if (move.streamEnded) {
      runs.streamEnded(at, move.attempt.id(), grade);
    }
  }

  /**
   * Returns whether the end of an attempt's stream is withheld, or turned into a loss, as the run
   * may have been stopped. The answer to the move tells what the end means.
   */
  boolean withholdsEnd(long at, AttemptId id, Optional<AnswerGrade> grade) {
    if (grade.isPresent() && maybeStopped.remove(id)) {
      runs.streamEnded(at, id, Optional.empty());
      return true;
    }
    Move move = moves.get(id);
    if (move == null || move.step != MoveStep.STOP || move.streamEnded) {
      return false;
    }
    move.streamEnded = true;
    move.endGrade = grade;
    continueIfFinished(at, move);
    return true;
  }

  private void continueIfFinished(long at, Move move) {
    if (move.streamEnded && move.copied) {
      remove(move);
      move.copy
          .lastHandle()
          .flatMap(handle -> runs.continueRun(at, move, handle))
          .ifPresentOrElse(id -> unusedCopies.put(id, move.copy), move.copy::abandon);
    }
  }

  /** Handles the timeout of the second step. */
  void stopTimedOut(long at, AttemptId id) {
    Move move = moves.get(id);
    if (move == null) {
      return;
    }
    if (move.copied) {
      runs.emit(new RelayEffect.Cancel(id));
      move.streamEnded = true;
      continueIfFinished(at, move);
    } else {
      markMaybeStopped(move);
      moveFailed(at, move, Optional.empty());
    }
  }

  /**
   * Handles incarnations that ended by a restart: moves off them are void. Runs that were to move
   * to one continue where they are, unless they were stopped for the move.
   */
  void incarnationsEnded(long at, Set<UpstreamIncarnation> incarnations) {
    for (Move move : List.copyOf(moves.values())) {
      AttemptState a = move.attempt;
      if (incarnations.contains(a.upstream().incarnation())) {
        abandon(move);
      } else if (incarnations.contains(move.destination.incarnation())) {
        markMaybeStopped(move);
        moveFailed(at, move, Optional.empty());
      }
    }
  }

  private void free(UpstreamState source, String handle) {
    if (!upstreams.hasRestarted(source.incarnation())) {
      runs.emit(new RelayEffect.Free(source.upstream(), handle));
    }
  }

  /**
   * Handles the beginning of an attempt's answer: if the attempt continues from a copy, the copy is
   * used.
   */
  void attemptBegan(AttemptId id) {
    Optional.ofNullable(unusedCopies.remove(id)).ifPresent(RunCopy::used);
  }

  /**
   * Handles the end of an attempt: frees the copy that was made of its run, or from which it was to
   * continue.
   */
  void attemptEnded(AttemptState a) {
    maybeStopped.remove(a.id());
    Optional.ofNullable(moves.get(a.id())).ifPresent(this::abandon);
    Optional.ofNullable(unusedCopies.remove(a.id())).ifPresent(RunCopy::abandon);
  }

  private void abandon(Move move) {
    remove(move);
    move.permit.ifPresent(RetryPermit::release);
    move.copy.abandon();
  }

  /** Ends a move and releases its reservation. */
  private void remove(Move move) {
    moves.remove(move.attempt.id());
    move.destination.addLoad(-move.reservedUnits);
  }
}
