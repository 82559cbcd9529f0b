/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.event.FailureCause;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.lib.UpstreamLife;
import org.larkkeel.relay.AnswerGrade;
import org.larkkeel.relay.RefusalCause;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RelayEffect.Purpose;
import org.larkkeel.relay.RelayFact;
import org.larkkeel.relay.RelayUpstream;
import org.larkkeel.relay.Stage;

/**
 * What follows from the outcome of an attempt: the final answer, another send, or a failure.
 *
 * <p>Invariant: a call that may run once is sent again only if no earlier send may have run it. Not
 * safe for use by several threads.
 */
public final class Outcomes {
  private static final long MILLI = 1_000_000L;

  private final Parts parts;

  Outcomes(Parts parts) {
    this.parts = parts;
  }

  /** A prompt has been read. */
  public void promptRead(long at, AttemptId id, String handle) {
    AttemptState a = find(id);
    if (a == null) {
      return;
    }
    parts.open.over(a);
    CallState c = a.call();
    learn(at, a);
    if (!a.repeat()) {
      c.arrivals--;
    }
    RelayUpstream source = a.upstream().upstream();
    parts.report(new RelayFact.PromptRead(c.call.wireId(), id, source.id(), at - a.sentAt()));
    c.reader = source.life();
    c.prompt = new Purpose.TakeOver(source, handle);
    parts.dispatch.run(at, c);
  }

  private void learn(long at, AttemptState a) {
    parts.prompts.confirmLapse(at, a);
    boolean was = a.upstream().isStruck();
    a.upstream().succeeded(at);
    if (was) {
      parts.report(new RelayFact.Restored(a.upstream().upstream().id()));
    }
    parts.fleet.took(a.upstream(), at, (at - a.sentAt()) / a.call().units());
  }

  /** A stream has begun. */
  public void began(long at, AttemptId id) {
    AttemptState a = find(id);
    if (a == null) {
      return;
    }
    CallState c = a.call();
    if (a.continues()) {
      parts.evacuation.began(id);
      a.upstream().succeeded(at);
    } else {
      learn(at, a);
    }
    c.prompt = null;
    c.attemptBeganAt = at;
    if (!c.began) {
      c.began = true;
      c.beganAt = at;
    }
    parts.report(
        new RelayFact.Began(c.call.wireId(), id, a.upstream().upstream().id(), at - c.arrivedAt));
    parts.emit(new RelayEffect.Follow(c.call.id(), id));
  }

  /** A stream has gone on. */
  public void progressed(AttemptId id, int events) {
    AttemptState a = find(id);
    if (a == null || a.call().home == null) {
      return;
    }
    CallState c = a.call();
    c.generated += (long) events * parts.bounds(c.service).tokensPerEvent();
    long units = Sizing.memory(c);
    c.home.addLoad(units - c.homeUnits);
    c.homeUnits = units;
  }

  /** A whole answer is there. */
  public void answered(long at, AttemptId id, AnswerGrade grade) {
    AttemptState a = find(id);
    if (a == null || parts.evacuation.holds(at, id, Optional.of(grade))) {
      return;
    }
    CallState c = a.call();
    parts.guard.answered(at, c.call);
    if (grade == AnswerGrade.GOOD && !c.began) {
      learn(at, a);
    } else if (grade == AnswerGrade.FAILED) {
      a.upstream().failed(at);
      if (mayRunAgain(at, c)) {
        parts.open.over(a);
        parts.attempts.failed(a, "answered_failure", true);
        again(at, a);
        return;
      }
    }
    if (grade == AnswerGrade.GOOD) {
      parts.evacuation.began(id);
    }
    parts.open.over(a);
    if (c.began && grade != AnswerGrade.GOOD) {
      // The caller has the beginning of a stream: another answer can not take its place.
      parts.attempts.failed(a, "answered_failure", true);
      parts.open.giveUp(at, c, ErrorKind.UPSTREAM_FAILED, "the stream could not go on");
      return;
    }
    long first = (c.began ? c.beganAt : at) - c.arrivedAt;
    parts.report(
        new RelayFact.Answered(
            c.call.wireId(),
            id,
            a.upstream().upstream().id(),
            c.rule.name().value(),
            grade,
            first,
            at - c.arrivedAt,
            grade == AnswerGrade.GOOD && first <= c.rule.targetMillis() * MILLI));
    c.prompt = null;
    parts.open.remove(c);
    parts.emit(new RelayEffect.Deliver(c.call.id(), id));
    parts.rooms.admitWaiting(at);
  }

  /** Runs a call at another upstream than that of an attempt. */
  private void again(long at, AttemptState a) {
    a.call().suspect = null;
    a.call().without.add(a.upstream().life());
    parts.dispatch.run(at, a.call());
  }

  /** Whether a call whose last send may have run may be sent once more. */
  boolean mayRunAgain(long at, CallState c) {
    return c.rule.kind().isRepeatable()
        && c.runs < c.rule.maxRuns()
        && c.sends < Dispatch.MOST_SENDS
        && at < c.deadline
        && parts.repeats.allows(at, c.service);
  }

  /** An attempt has not run. */
  public void refused(long at, AttemptId id, RefusalCause cause) {
    AttemptState a = find(id);
    if (a == null) {
      return;
    }
    parts.open.over(a);
    CallState c = a.call();
    if (a.beginsRun()) {
      c.runs--;
    }
    parts.attempts.failed(a, cause.name(), false);
    boolean goesOn =
        switch (cause) {
          case NOT_SENT -> notSent(at, a);
          case WRONG_UPSTREAM -> replaced(at, a);
          case DECLINED -> declined(at, a);
        };
    if (goesOn) {
      return;
    }
    if (!a.continues()) {
      again(at, a);
    } else if (mayRunAgain(at, c)) {
      parts.dispatch.run(at, c);
    } else {
      parts.open.giveUp(at, c, ErrorKind.UPSTREAM_FAILED, "the copy of its run was " + cause);
    }
  }

  /** Takes back what was counted for a send that reached nobody; the call goes elsewhere. */
  private boolean notSent(long at, AttemptState a) {
    a.call().arrivals--;
    if (a.repeat()) {
      parts.repeats.giveBack(a.sentAt(), a.call().service);
    }
    strike(at, a, RefusalCause.NOT_SENT.name(), true);
    return false;
  }

  /** The upstream is not what was listed; the call goes elsewhere. */
  private boolean replaced(long at, AttemptState a) {
    a.upstream().replaced(at);
    parts.guard.lifeEnded(at, a.upstream().life(), "address_taken");
    return false;
  }

  /** Whether a declined call goes on at the same upstream. */
  private boolean declined(long at, AttemptState a) {
    if (a.purpose() instanceof Purpose.TakeOver t && readsItself(at, a, t)) {
      return true;
    }
    long until = a.upstream().declined(at);
    parts.timers.add(new Timers.Due.Contest(until));
    return false;
  }

  /** Whether a call whose prompt was declined goes on at the same upstream, which reads it. */
  private boolean readsItself(long at, AttemptState a, Purpose.TakeOver prompt) {
    CallState c = a.call();
    if (parts.prompts.goesOnElsewhere(c, prompt, () -> hasOther(at, a))) {
      return false;
    }
    if (!a.upstream().takesWork(at)) {
      return false;
    }
    parts.dispatch.send(
        at, c, new Choice(a.upstream(), 0, "", 0, 1), parts.dispatch.purpose(at, c), 0);
    return true;
  }

  private boolean hasOther(long at, AttemptState a) {
    CallState c = a.call();
    Set<UpstreamLife> without = new HashSet<>(c.without);
    without.add(a.upstream().life());
    return parts
        .fleet
        .choose(
            at, c.service, Stage::runs, without, parts.settings.place(), parts.rooms.need(c, at))
        .isPresent();
  }

  /** An attempt may have run, and its answer is lost. */
  public void lost(long at, AttemptId id, FailureCause cause) {
    AttemptState a = find(id);
    if (a == null || parts.evacuation.holds(at, id, Optional.empty())) {
      return;
    }
    parts.open.over(a);
    CallState c = a.call();
    parts.prompts.free(c);
    parts.attempts.failed(a, cause.name(), true);
    if (cause == FailureCause.CONNECTION_LOST) {
      parts.attempts.broken(at, a);
      parts.guard.broken(at, a);
    }
    strike(at, a, cause.name(), cause == FailureCause.TIMED_OUT);
    goOnWithout(at, a, cause.name());
  }

  /** Sends a call elsewhere whose attempt is lost, if it may; else it ends. */
  void goOnWithout(long at, AttemptState a, String cause) {
    if (!a.runs() || mayRunAgain(at, a.call())) {
      again(at, a);
    } else {
      parts.open.giveUp(at, a.call(), ErrorKind.UPSTREAM_FAILED, cause);
    }
  }

  private void strike(long at, AttemptState a, String cause, boolean hard) {
    long time = a.upstream().struck(at, hard);
    if (time > 0) {
      parts.report(new RelayFact.Ejected(a.upstream().upstream().id(), cause, time));
    }
  }

  void impatient(long at, AttemptId id) {
    AttemptState a = find(id);
    if (a == null || a.call().began) {
      return;
    }
    if (a.runs() && !mayRunAgain(at, a.call())) {
      return;
    }
    parts.emit(new RelayEffect.Cancel(id));
    lost(at, id, FailureCause.TIMED_OUT);
  }

  /** The attempt if it is in flight still, or null. */
  private AttemptState find(AttemptId id) {
    return parts.attempts.find(id).orElse(null);
  }
}
