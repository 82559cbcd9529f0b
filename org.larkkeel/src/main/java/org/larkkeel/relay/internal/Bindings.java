/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.event.FailureCause;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.lib.UpstreamLife;
import org.larkkeel.quota.QuotaHolder;
import org.larkkeel.relay.AnswerGrade;
import org.larkkeel.relay.RelayConfiguration;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RelayEffect.Purpose;
import org.larkkeel.relay.Stage;

/**
 * What the parts of a router need of its calls, each by an interface of its own.
 *
 * <p>Not safe for use by several threads.
 */
final class Bindings {
  private static final long MILLI = 1_000_000L;

  /** Why an attempt is lost whose upstream has started again. */
  private static final String UPSTREAM_RESTARTED = "UPSTREAM_RESTARTED";

  private final Parts parts;

  Bindings(Parts parts) {
    this.parts = parts;
  }

  /** What is quarantined meanwhile is not sent any more. */
  final class Guarded implements CrashGuard.Calls {
    @Override
    public List<CallState> idle() {
      return parts.open.all().stream().filter(c -> c.attempt == null).toList();
    }

    @Override
    public void refuse(long at, CallState c, long remainingNanos) {
      if (parts.open.has(c)) {
        parts.open.giveUp(at, c, ErrorKind.QUARANTINED, remainingNanos / MILLI, CrashGuard.REFUSAL);
      }
    }
  }

  /** What moves need of the calls. */
  final class Movable implements Evacuation.Runs {
    @Override
    public List<AttemptState> attempts() {
      return parts.attempts.all();
    }

    @Override
    public Optional<UpstreamState> destination(long at, AttemptState a) {
      CallState c = a.call();
      Set<UpstreamLife> without = new HashSet<>(c.without);
      without.add(a.upstream().life());
      Need need = Sizing.move(c, parts.admission.configuration(), parts.repeats.nodes());
      return parts
          .fleet
          .choose(at, c.service, Stage::runs, without, a.upstream().upstream().place(), need)
          .map(Choice::best);
    }

    @Override
    public boolean mayMove(long at, AttemptState a) {
      CallState c = a.call();
      return c.attempt == a
          && c.began
          && a.runs()
          && c.sends < Dispatch.MOST_SENDS
          && parts.bounds(c.service).movesRuns()
          && a.upstream().rate().limit().isEmpty()
          && parts.repeats.allows(at, c.service);
    }

    @Override
    public void ended(long at, AttemptId id, Optional<AnswerGrade> end) {
      if (end.isPresent()) {
        parts.outcomes.answered(at, id, end.get());
      } else {
        parts.outcomes.lost(at, id, FailureCause.CONNECTION_LOST);
      }
    }

    @Override
    public Optional<AttemptId> goOn(long at, Evacuation.Move move, String handle) {
      AttemptState a = move.attempt;
      parts.open.over(a);
      if (!move.destination.takesWork(at)) {
        parts.outcomes.goOnWithout(at, a, "DESTINATION_CLOSED");
        return Optional.empty();
      }
      a.call().moveIn(move.destination, move.units);
      Purpose goOn = new Purpose.Continue(a.upstream().upstream(), handle);
      parts.dispatch.send(at, a.call(), new Choice(move.destination, 0, "", 0, 1), goOn, 0);
      return Optional.ofNullable(a.call().attempt).map(AttemptState::id);
    }

    @Override
    public void emit(RelayEffect effect) {
      parts.emit(effect);
    }
  }

  /** What the end of an upstream's life needs of the calls. */
  final class Endable implements EndedLives.Runs {
    @Override
    public List<CallState> calls() {
      return parts.open.all();
    }

    @Override
    public void lost(long at, AttemptState a) {
      parts.guard.endedWith(at, a, "restarted");
      parts.open.cancel(a.call());
      a.call().prompt = null;
      parts.attempts.failed(a, UPSTREAM_RESTARTED, true);
      parts.outcomes.goOnWithout(at, a, UPSTREAM_RESTARTED);
    }
  }

  /** Whose quotas are counted. */
  final class Counted implements Quotas.Calls {
    @Override
    public RelayConfiguration configuration() {
      return parts.admission.configuration();
    }

    @Override
    public Optional<CallState> find(QuotaHolder.Outcome outcome) {
      return parts.open.find(outcome.call());
    }

    @Override
    public void admitted(long at, CallState c) {
      parts.dispatch.withinQuota(at, c);
    }

    @Override
    public void permitsGranted(long at) {
      parts.permits.granted(at);
      parts.rooms.admitWaiting(at);
    }

    @Override
    public void refuse(long at, CallState c, ErrorKind kind, long retryAfter, String detail) {
      parts.open.giveUp(at, c, kind, retryAfter, detail);
    }
  }

  /** What room is needed for. */
  final class Roomy implements Rooms.Calls {
    @Override
    public RelayConfiguration configuration() {
      return parts.admission.configuration();
    }

    @Override
    public int nodes() {
      return parts.repeats.nodes();
    }

    @Override
    public boolean isDraining() {
      return parts.dispatch.isDraining();
    }

    @Override
    public boolean isUsable(long at, CallState c, UpstreamState s) {
      return parts.dispatch.isUsable(at, c, s);
    }

    @Override
    public void begin(long at, CallState c, Optional<Choice> reader) {
      parts.dispatch.begin(at, c, reader);
    }

    @Override
    public void force(long at, CallState c) {
      parts.dispatch.place(at, c, Sizing.forced(parts.rooms.need(c, at)));
    }

    @Override
    public void giveUp(long at, CallState c, ErrorKind kind, String detail) {
      parts.open.giveUp(at, c, kind, detail);
    }

    @Override
    public void sendBack(long at, CallState c, long retryAfter, String detail) {
      parts.open.giveUp(at, c, ErrorKind.OVERLOADED, retryAfter, detail);
    }

    @Override
    public void emit(RelayEffect effect) {
      parts.emit(effect);
    }
  }
}
