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
 * length look complete. Not safe for use by several threads.
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

    /** The run is to go on from its copy. */
    void goOn(long at, Move move, String handle);

    /** Has something done. */
    void emit(RelayEffect effect);
  }

  /** One run that moves. */
  static final class Move {
    final AttemptState attempt;
    final UpstreamState destination;
    final long units;
    private MoveStep step = MoveStep.COPY;
    private Optional<String> handle = Optional.empty();
    private boolean streamEnded;

    /** What the end of the stream would mean without the move; empty if it was lost. */
    private Optional<AnswerGrade> end = Optional.empty();

    private Move(AttemptState attempt, UpstreamState destination) {
      this.attempt = attempt;
      this.destination = destination;
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
      if (a.upstream() == s && !moves.containsKey(a.id()) && runs.mayMove(at, a)) {
        runs.destination(at, a).ifPresent(to -> begin(a, to));
      }
    }
    timers.add(new Timers.Due.Evacuate(at + AGAIN, id));
  }

  private void begin(AttemptState a, UpstreamState destination) {
    Move move = new Move(a, destination);
    destination.addLoad(move.units);
    moves.put(a.id(), move);
    ask(move);
  }

  private void ask(Move move) {
    AttemptState a = move.attempt;
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
    Move move = moves.get(id);
    if (move == null) {
      return;
    }
    AttemptState a = move.attempt;
    runs.emit(
        new RelayEffect.Report(
            new RelayFact.RunMoved(
                a.call().call.wireId(),
                id,
                a.upstream().upstream().id(),
                move.destination.upstream().id(),
                move.step,
                result)));
    switch (result) {
      case MoveResult.Copied c when move.step == MoveStep.COPY -> {
        move.step = MoveStep.STOP;
        timers.add(new Timers.Due.MoveOver(at + STOP_PATIENCE, id));
        ask(move);
      }
      case MoveResult.Copied c -> {
        move.handle = Optional.of(c.handle());
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
    remove(move.attempt.id());
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
    if (move.streamEnded && move.handle.isPresent()) {
      remove(move.attempt.id());
      runs.goOn(at, move, move.handle.get());
    }
  }

  /** The second step takes too long. */
  void overdue(long at, AttemptId id) {
    Move move = moves.get(id);
    if (move == null) {
      return;
    }
    if (move.handle.isPresent()) {
      runs.emit(new RelayEffect.Cancel(id));
      move.streamEnded = true;
      goOnIfOver(at, move);
    } else {
      doubt(move);
      failed(at, move, Optional.empty());
    }
  }

  /**
   * Upstreams have started again: moves off the lives before are void, and their copies are not
   * freed, as the handles may name what belongs to others now. Runs that were to move to one go on
   * where they are, unless they were stopped for it.
   */
  void livesEnded(long at, Set<UpstreamLife> lives) {
    for (Move move : List.copyOf(moves.values())) {
      AttemptState a = move.attempt;
      if (lives.contains(a.upstream().life())) {
        remove(a.id());
      } else if (lives.contains(move.destination.life())) {
        move.handle.ifPresent(h -> free(a, h));
        doubt(move);
        failed(at, move, Optional.empty());
      }
    }
  }

  private void free(AttemptState a, String handle) {
    runs.emit(new RelayEffect.Free(a.upstream().upstream(), handle));
  }

  /** An attempt is over; a copy that was made of it is freed. */
  void abandon(AttemptState a) {
    doubtful.remove(a.id());
    Optional.ofNullable(remove(a.id())).flatMap(m -> m.handle).ifPresent(h -> free(a, h));
  }

  /** Ends a move and gives its room back; null if there is none. */
  private Move remove(AttemptId id) {
    Move move = moves.remove(id);
    if (move != null) {
      move.destination.addLoad(-move.units);
    }
    return move;
  }
}
