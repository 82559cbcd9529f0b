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
import org.larkkeel.lib.UpstreamLife;
import org.larkkeel.relay.AnswerGrade;
import org.larkkeel.relay.MoveResult;
import org.larkkeel.relay.MoveStep;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RelayFact;

/**
 * Moves runs off upstreams that leave, with their memory.
 *
 * <p>A move has two steps: the memory is copied while the run goes on, which proves that the
 * destination has room and makes the second step short; then the run stops and the rest is copied.
 * It is over once both the copy and the end of the stream are there.
 *
 * <p>Invariants: room is set aside at the destination for each move until it is over; the end of a
 * stream that may have been stopped is not taken for the end of its answer, as streams without a
 * length look complete; a copy is used by the attempt that goes on from it, or freed when its move
 * or that attempt ends, or when the answer that names it comes later; nothing is freed at an
 * upstream that has started again, as the handle may name what belongs to another call now. Not
 * safe for use by several threads.
 */
final class Evacuation {
  private static final long MILLI = 1_000_000L;

  /** How long runs at an upstream that leaves may end by themselves before they are moved. */
  private static final long AFTER = 1_200 * MILLI;

  /** How long until runs that could not be moved are tried again. */
  private static final long AGAIN = 200 * MILLI;

  /** How long the second step of a move may take before the run is given up. */
  private static final long STOP_PATIENCE = 1_000 * MILLI;

  private final Fleet fleet;
  private final Timers timers;
  private final Runs runs;
  private final Map<AttemptId, Move> moves = new HashMap<>();

  /** Copies for which an answer is outstanding, by the attempt that was to move. */
  private final Map<AttemptId, RunCopy> asked = new HashMap<>();

  /** Copies from which an attempt is to go on that has not begun. */
  private final Map<AttemptId, RunCopy> unused = new HashMap<>();

  /** Attempts that were to stop and for which there is no copy. */
  private final Set<AttemptId> doubtful = new HashSet<>();

  /** What moves need of the calls. */
  interface Runs {
    /** All attempts in flight. */
    List<AttemptState> attempts();

    /** Whether an attempt is a run that can be moved. */
    boolean mayMove(long at, AttemptState attempt);

    /** Where to; empty if there is no room. */
    Optional<UpstreamState> destination(long at, AttemptState attempt);

    /** The stream of an attempt has ended: with an answer, or without its end. */
    void ended(long at, AttemptId attempt, Optional<AnswerGrade> end);

    /** The run is to go on from its copy: the attempt that does; empty if none was sent. */
    Optional<AttemptId> goOn(long at, Move move, String handle);

    /** Has something done. */
    void emit(RelayEffect effect);
  }

  /** One run that moves. */
  static final class Move {
    final AttemptState attempt;
    final UpstreamState destination;
    final long units;
    private final RunCopy copy;
    private MoveStep step = MoveStep.COPY;
    private boolean complete;
    private boolean streamEnded;

    /** What the end of the stream would mean without the move; empty if it was lost. */
    private Optional<AnswerGrade> end = Optional.empty();

    private Move(AttemptState attempt, UpstreamState destination, RunCopy copy) {
      this.attempt = attempt;
      this.destination = destination;
      this.copy = copy;
      this.units = Sizing.memory(attempt.call());
    }
  }

  Evacuation(Fleet fleet, Timers timers, Runs runs) {
    this.fleet = fleet;
    this.timers = timers;
    this.runs = runs;
  }

  /** Plans moves off the upstreams that leave since the last look, or are gone from the list. */
  void look(long at) {
    for (UpstreamState s : fleet.beginEvacuations()) {
      timers.add(new Timers.Due.Evacuate(at + AFTER, s.life()));
    }
  }

  /** Moves what is left at an upstream. */
  void due(long at, UpstreamLife id) {
    Optional<UpstreamState> source = fleet.find(id);
    if (source.isEmpty()) {
      return;
    }
    UpstreamState s = source.get();
    if (!s.isGoing() || s.inFlight() == 0) {
      s.endEvacuation();
      return;
    }
    for (AttemptState a : runs.attempts()) {
      if (a.upstream() == s && !isMoving(a.id()) && runs.mayMove(at, a)) {
        runs.destination(at, a).ifPresent(to -> begin(a, to));
      }
    }
    timers.add(new Timers.Due.Evacuate(at + AGAIN, id));
  }

  /** Whether an attempt moves, or an answer to an earlier move of it may still come. */
  private boolean isMoving(AttemptId id) {
    return moves.containsKey(id) || asked.containsKey(id);
  }

  private void begin(AttemptState a, UpstreamState destination) {
    Move move = new Move(a, destination, new RunCopy(handle -> free(a.upstream(), handle)));
    destination.addLoad(move.units);
    moves.put(a.id(), move);
    ask(move);
  }

  private void ask(Move move) {
    AttemptState a = move.attempt;
    asked.put(a.id(), move.copy);
    runs.emit(
        new RelayEffect.Move(
            a.id(),
            a.call().call.id(),
            a.upstream().upstream(),
            move.destination.upstream(),
            move.step));
  }

  /** A step was answered. */
  void moved(long at, AttemptId id, MoveResult result) {
    RunCopy copy = asked.remove(id);
    if (copy != null && result instanceof MoveResult.Copied c) {
      copy.made(c.handle());
    }
    Move move = moves.get(id);
    if (copy != null && move != null) {
      answered(at, move, result);
    }
  }

  private void answered(long at, Move move, MoveResult result) {
    AttemptState a = move.attempt;
    runs.emit(
        new RelayEffect.Report(
            new RelayFact.RunMoved(
                a.call().call.wireId(),
                a.id(),
                a.upstream().upstream().id(),
                move.destination.upstream().id(),
                move.step,
                result)));
    switch (result) {
      case MoveResult.Copied c when move.step == MoveStep.COPY -> {
        move.step = MoveStep.STOP;
        timers.add(new Timers.Due.MoveOver(at + STOP_PATIENCE, a.id()));
        ask(move);
      }
      case MoveResult.Copied c -> {
        move.complete = true;
        goOnIfOver(at, move);
      }
      case MoveResult.NoRun n -> failed(at, move, move.end);
      case MoveResult.Failed f -> {
        doubt(move);
        failed(at, move, Optional.empty());
      }
    }
  }

  private void doubt(Move move) {
    if (move.step == MoveStep.STOP) {
      doubtful.add(move.attempt.id());
    }
  }

  /** Without a copy the run goes on where it is, unless its stream is over. */
  private void failed(long at, Move move, Optional<AnswerGrade> end) {
    giveUp(move);
    if (move.streamEnded) {
      runs.ended(at, move.attempt.id(), end);
    }
  }

  /**
   * Whether the end of an attempt's stream is kept back, or turned into a loss, as the run may have
   * been stopped. What it means is known with the answer to the move.
   */
  boolean holds(long at, AttemptId id, Optional<AnswerGrade> end) {
    if (end.isPresent() && doubtful.remove(id)) {
      runs.ended(at, id, Optional.empty());
      return true;
    }
    Move move = moves.get(id);
    if (move == null || move.step != MoveStep.STOP || move.streamEnded) {
      return false;
    }
    move.streamEnded = true;
    move.end = end;
    goOnIfOver(at, move);
    return true;
  }

  private void goOnIfOver(long at, Move move) {
    if (move.streamEnded && move.complete) {
      remove(move);
      move.copy
          .last()
          .flatMap(handle -> runs.goOn(at, move, handle))
          .ifPresentOrElse(id -> unused.put(id, move.copy), move.copy::giveUp);
    }
  }

  /** The second step takes too long. */
  void overdue(long at, AttemptId id) {
    Move move = moves.get(id);
    if (move == null) {
      return;
    }
    if (move.complete) {
      runs.emit(new RelayEffect.Cancel(id));
      move.streamEnded = true;
      goOnIfOver(at, move);
    } else {
      doubt(move);
      failed(at, move, Optional.empty());
    }
  }

  /**
   * Upstreams have started again: moves off the lives before are void. Runs that were to move to
   * one go on where they are, unless they were stopped for it.
   */
  void livesEnded(long at, Set<UpstreamLife> lives) {
    for (Move move : List.copyOf(moves.values())) {
      AttemptState a = move.attempt;
      if (lives.contains(a.upstream().life())) {
        giveUp(move);
      } else if (lives.contains(move.destination.life())) {
        doubt(move);
        failed(at, move, Optional.empty());
      }
    }
  }

  private void free(UpstreamState source, String handle) {
    if (!fleet.hasStartedAgain(source.life())) {
      runs.emit(new RelayEffect.Free(source.upstream(), handle));
    }
  }

  /** An attempt has begun; if it goes on from a copy, the copy is used. */
  void began(AttemptId id) {
    Optional.ofNullable(unused.remove(id)).ifPresent(RunCopy::used);
  }

  /** An attempt is over: a copy that was made of it, or from which it was to go on, is freed. */
  void abandon(AttemptState a) {
    doubtful.remove(a.id());
    Optional.ofNullable(moves.get(a.id())).ifPresent(this::giveUp);
    Optional.ofNullable(unused.remove(a.id())).ifPresent(RunCopy::giveUp);
  }

  private void giveUp(Move move) {
    remove(move);
    move.copy.giveUp();
  }

  /** Ends a move and gives its room back. */
  private void remove(Move move) {
    moves.remove(move.attempt.id());
    move.destination.addLoad(-move.units);
  }
}
