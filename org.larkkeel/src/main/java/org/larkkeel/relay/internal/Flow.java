/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.event.FailureCause;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.relay.AnswerGrade;
import org.larkkeel.relay.CallKind;
import org.larkkeel.relay.RefusalCause;
import org.larkkeel.relay.RelayCall;
import org.larkkeel.relay.RelayConfiguration;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RelayEffect.Purpose;
import org.larkkeel.relay.RelayFact;
import org.larkkeel.relay.RelayRule;
import org.larkkeel.relay.RelaySettings;
import org.larkkeel.relay.RelayUpstream;
import org.larkkeel.relay.ServiceName;
import org.larkkeel.relay.Stage;

/**
 * The way of each call: where it is sent, what follows a failure, and its final answer.
 *
 * <p>Invariants: a call that may run once is sent to be run only while no earlier send may have run
 * it; each call gets exactly one of {@code Deliver}, {@code Refuse} and {@code Cut}, unless its
 * caller left. Not safe for use by several threads.
 */
public final class Flow {
  private static final long MILLI = 1_000_000L;

  /** The most sends of one call, those included that reached no upstream. */
  private static final int MOST_SENDS = 6;

  /** How many times the estimate a repeatable attempt may take before another is tried. */
  private static final double PATIENCE = 4;

  /** The least patience, as a share of the target. */
  private static final double PATIENCE_OF_TARGET = 1.5;

  private static final long LEAST_PROMPT_PATIENCE = 700 * MILLI;

  /** Pauses within a resumable stream, as multiples of the pause that is on time. */
  private static final long SILENCE_GAPS = 4;

  private static final long LEAST_SILENCE = 800 * MILLI;
  private static final long RETRY_AFTER_MILLIS = 200;
  private static final long NOT_READY_RETRY_MILLIS = 300;

  /** How much of an upstream's connections the nodes may use together. */
  private static final double CONNECTION_SHARE = 0.8;

  private static final int LEAST_CONNECTIONS = 4;

  private final RelaySettings settings;
  private final Fleet fleet;
  private final SplittableRandom random;
  private final Timers timers = new Timers();
  private final Map<RequestId, CallState> calls = new HashMap<>();
  private final Map<AttemptId, AttemptState> attempts = new HashMap<>();
  private final Map<ServiceName, RetryAllowance> allowances = new HashMap<>();
  private Consumer<RelayEffect> effects = e -> {};
  private RelayConfiguration configuration;
  private long nextAttempt;
  private int nodes;

  /** Begins without a configuration. */
  public Flow(RelaySettings settings) {
    this.settings = settings;
    this.random = new SplittableRandom(settings.seed());
    this.fleet = new Fleet(settings.missingNanos(), random.split());
    this.nodes = settings.nodes();
  }

  /** Sets where effects go. */
  public void effects(Consumer<RelayEffect> sink) {
    effects = sink;
  }

  /** The revision in force; 0 if there is none. */
  public long revision() {
    return configuration == null ? 0 : configuration.revision();
  }

  /** The configuration in force. */
  public Optional<RelayConfiguration> configuration() {
    return Optional.ofNullable(configuration);
  }

  /** Whether it can place calls. */
  public boolean isReady() {
    return configuration != null && fleet.isKnown();
  }

  /** The calls without a final answer. */
  public int inProgress() {
    return calls.size();
  }

  /** When a tick is due; {@link Long#MAX_VALUE} if none is. */
  public long nextDue() {
    return timers.next();
  }

  /** Takes over a configuration that is not older than that in force. */
  public void read(RelayConfiguration read) {
    long before = revision();
    if (configuration != null && read.revision() <= before) {
      if (read.revision() < before) {
        report(new RelayFact.Stale(read.revision(), before));
      }
      return;
    }
    configuration = read;
    report(new RelayFact.InForce(read.revision(), before, read.size()));
  }

  /** Takes over the list of upstreams. */
  public void upstreams(long at, ImmutableMap<UpstreamName, RelayUpstream> now) {
    fleet.replace(at, now, this::report);
    fleet.forget(at, this::report);
  }

  /** Sets over how many nodes the slack of the budget is split. */
  public void nodes(int count) {
    nodes = Math.max(1, count);
  }

  /** A call has arrived. */
  public void arrived(long at, RelayCall call) {
    if (!isReady()) {
      refuse(call, "", ErrorKind.NOT_READY, NOT_READY_RETRY_MILLIS, "no configuration yet", at, at);
      return;
    }
    Optional<RelayRule> rule = configuration.match(call.host(), call.path());
    if (rule.isEmpty()) {
      refuse(call, "", ErrorKind.NO_RULE, 0, "revision " + revision(), at, at);
      return;
    }
    admit(at, call, rule.get());
  }

  private void admit(long at, RelayCall call, RelayRule rule) {
    long millis = rule.timeoutMillis();
    if (call.deadlineMillis() > 0) {
      millis = Math.min(millis, call.deadlineMillis());
    }
    CallState state = new CallState(call, rule, service(rule), at, at + millis * MILLI);
    calls.put(call.id(), state);
    allowance(state.service).first(at);
    timers.add(new Timers.Due.Deadline(state.deadline, call.id()));
    report(
        new RelayFact.Admitted(
            call.wireId(),
            rule.name().value(),
            state.service.value(),
            revision(),
            millis,
            call.promptTokens()));
    place(at, state);
  }

  private ServiceName service(RelayRule rule) {
    int total = rule.split().stream().mapToInt(RelayRule.Share::weight).sum();
    int drawn = random.nextInt(total);
    for (RelayRule.Share share : rule.split()) {
      drawn -= share.weight();
      if (drawn < 0) {
        return share.service();
      }
    }
    throw new IllegalStateException("the weights of " + rule.name() + " do not add up");
  }

  private RetryAllowance allowance(ServiceName service) {
    return allowances.computeIfAbsent(
        service, s -> new RetryAllowance(settings.repeatShare(), settings.windowNanos()));
  }

  private double slack() {
    return settings.repeatSlack() / nodes;
  }

  private void place(long at, CallState c) {
    if (!c.promptDone && c.call.promptTokens() >= settings.stageTokens()) {
      c.promptDone = true;
      Optional<Choice> reader = choose(at, c, s -> s == Stage.PREFILL, settings.place());
      if (reader.isPresent() && !reader.get().best().handlesLapse(at)) {
        send(at, c, reader.get(), new Purpose.ReadPrompt());
        return;
      }
    }
    run(at, c, new Purpose.Run(), settings.place());
  }

  private void run(long at, CallState c, Purpose purpose, DataCentreName near) {
    Optional<Choice> choice = choose(at, c, Stage::runs, near);
    if (choice.isEmpty()) {
      giveUp(at, c, ErrorKind.NO_UPSTREAM, "no upstream of " + c.service + " is left");
      return;
    }
    send(at, c, choice.get(), purpose);
  }

  private Optional<Choice> choose(
      long at, CallState c, java.util.function.Predicate<Stage> stage, DataCentreName near) {
    return fleet.choose(at, c.service, stage, c.without, near, mostEach(c.service));
  }

  private int mostEach(ServiceName service) {
    int all = configuration.connections(service);
    return Math.max(LEAST_CONNECTIONS, (int) Math.min(all, CONNECTION_SHARE * all / nodes));
  }

  private void send(long at, CallState c, Choice choice, Purpose purpose) {
    boolean repeat = c.arrivals > 0;
    if (c.sends >= MOST_SENDS) {
      giveUp(at, c, ErrorKind.OVERLOADED, "sent " + c.sends + " times");
      return;
    }
    if (repeat && !allowance(c.service).take(at, slack())) {
      RetryAllowance a = allowance(c.service);
      report(
          new RelayFact.BudgetSpent(
              c.call.wireId(), c.service.value(), a.used(at), a.allowed(at, slack())));
      giveUp(at, c, ErrorKind.OVERLOADED, "the budget of repeats is used up");
      return;
    }
    c.sends++;
    c.arrivals++;
    AttemptId id = new AttemptId(++nextAttempt);
    AttemptState a = new AttemptState(id, c, choice.best(), purpose, at, repeat);
    if (a.runs()) {
      c.runs++;
    }
    c.attempt = a;
    attempts.put(id, a);
    choice.best().started();
    report(placed(c, a, choice));
    long patience = patience(at, a);
    if (patience < c.deadline - at) {
      timers.add(new Timers.Due.Patience(at + patience, id));
    }
    effects.accept(
        new RelayEffect.Send(
            id, c.call.id(), choice.best().upstream(), purpose, c.deadline, silence(c)));
  }

  private static RelayFact placed(CallState c, AttemptState a, Choice choice) {
    return new RelayFact.Placed(
        c.call.wireId(),
        a.id(),
        a.purpose().getClass().getSimpleName(),
        choice.best().upstream().id(),
        choice.cost() / MILLI,
        choice.runnerUp(),
        choice.runnerUpCost() / MILLI,
        c.sends,
        choice.candidates());
  }

  /** How long an attempt is waited for before another is tried; without end where none may be. */
  private long patience(long at, AttemptState a) {
    CallState c = a.call();
    double usual = PATIENCE * fleet.unit(a.upstream(), at) * c.units();
    if (!a.runs()) {
      return Math.max(LEAST_PROMPT_PATIENCE, (long) usual);
    }
    if (!c.rule.kind().isRepeatable() || c.runs >= c.rule.maxRuns()) {
      return Long.MAX_VALUE;
    }
    long target = (long) (PATIENCE_OF_TARGET * c.rule.targetMillis() * MILLI);
    return Math.max(target, (long) usual);
  }

  private static long silence(CallState c) {
    return c.rule.kind() == CallKind.RESUMABLE_STREAM
        ? Math.max(LEAST_SILENCE, SILENCE_GAPS * c.rule.gapMillis() * MILLI)
        : 0;
  }

  /** The attempt if it is in flight still. */
  private AttemptState find(AttemptId id) {
    AttemptState a = attempts.get(id);
    return a != null && a.call().attempt == a ? a : null;
  }

  private void over(AttemptState a) {
    attempts.remove(a.id());
    a.upstream().ended();
    a.call().attempt = null;
  }

  /** A prompt has been read. */
  public void promptRead(long at, AttemptId id, String handle) {
    AttemptState a = find(id);
    if (a == null) {
      return;
    }
    over(a);
    CallState c = a.call();
    learn(at, a);
    if (!a.repeat()) {
      c.arrivals--;
    }
    report(
        new RelayFact.PromptRead(
            c.call.wireId(), id, a.upstream().upstream().id(), at - a.sentAt()));
    RelayUpstream source = a.upstream().upstream();
    Optional<Choice> choice = choose(at, c, Stage::runs, source.place());
    if (choice.isEmpty()) {
      effects.accept(new RelayEffect.Free(source, handle));
      wasted(c, a);
      giveUp(at, c, ErrorKind.NO_UPSTREAM, "no upstream of " + c.service + " can take the prompt");
      return;
    }
    send(at, c, choice.get(), new Purpose.TakeOver(source, handle));
  }

  private void wasted(CallState c, AttemptState a) {
    report(
        new RelayFact.PromptWasted(
            c.call.wireId(), a.upstream().upstream().id(), c.call.promptTokens()));
  }

  private void learn(long at, AttemptState a) {
    boolean was = a.upstream().isStruck();
    a.upstream().succeeded(at);
    if (was) {
      report(new RelayFact.Restored(a.upstream().upstream().id()));
    }
    fleet.took(a.upstream(), at, (at - a.sentAt()) / a.call().units());
  }

  /** A stream has begun. */
  public void began(long at, AttemptId id) {
    AttemptState a = find(id);
    if (a == null) {
      return;
    }
    CallState c = a.call();
    learn(at, a);
    if (!c.began) {
      c.began = true;
      c.beganAt = at;
    }
    effects.accept(new RelayEffect.Follow(c.call.id(), id));
  }

  /** A whole answer is there. */
  public void answered(long at, AttemptId id, AnswerGrade grade) {
    AttemptState a = find(id);
    if (a == null) {
      return;
    }
    CallState c = a.call();
    if (grade == AnswerGrade.GOOD && !c.began) {
      learn(at, a);
    } else if (grade == AnswerGrade.FAILED) {
      a.upstream().failed(at);
      if (mayRunAgain(at, c)) {
        over(a);
        failed(a, "answered_failure", true);
        c.without.add(a.upstream().upstream().id());
        run(at, c, new Purpose.Run(), settings.place());
        return;
      }
    }
    over(a);
    long first = (c.began ? c.beganAt : at) - c.arrivedAt;
    report(
        new RelayFact.Answered(
            c.call.wireId(),
            id,
            a.upstream().upstream().id(),
            c.rule.name().value(),
            grade,
            first,
            at - c.arrivedAt,
            grade == AnswerGrade.GOOD && first <= c.rule.targetMillis() * MILLI));
    calls.remove(c.call.id());
    effects.accept(new RelayEffect.Deliver(c.call.id(), id));
  }

  /** Whether a call whose last send may have run may be sent once more. */
  private boolean mayRunAgain(long at, CallState c) {
    return c.rule.kind().isRepeatable()
        && c.runs < c.rule.maxRuns()
        && c.sends < MOST_SENDS
        && at < c.deadline
        && allowance(c.service).used(at) + 1 <= allowance(c.service).allowed(at, slack());
  }

  /** An attempt has not run. */
  public void refused(long at, AttemptId id, RefusalCause cause) {
    AttemptState a = find(id);
    if (a == null) {
      return;
    }
    over(a);
    CallState c = a.call();
    if (a.runs()) {
      c.runs--;
    }
    failed(a, cause.name(), false);
    boolean again = false;
    switch (cause) {
      case NOT_SENT -> {
        c.arrivals--;
        if (a.repeat()) {
          allowance(c.service).giveBack(a.sentAt());
        }
        strike(at, a, cause.name(), true);
      }
      case WRONG_UPSTREAM -> strike(at, a, cause.name(), true);
      case DECLINED -> again = declined(at, a);
    }
    if (again) {
      Choice same = new Choice(a.upstream(), 0, "", 0, 1);
      send(at, c, same, new Purpose.Run());
      return;
    }
    c.without.add(a.upstream().upstream().id());
    run(at, c, new Purpose.Run(), settings.place());
  }

  /** Notes a declined attempt; says whether the same upstream may read the prompt by itself. */
  private boolean declined(long at, AttemptState a) {
    if (a.purpose() instanceof Purpose.TakeOver t) {
      fleet.all().stream()
          .filter(s -> s.upstream().id().equals(t.source().id()))
          .forEach(s -> s.handleLapsed(at));
      wasted(a.call(), a);
      return !a.upstream().upstream().leaving();
    }
    a.upstream().declined(at);
    return false;
  }

  /** An attempt may have run, and its answer is lost. */
  public void lost(long at, AttemptId id, FailureCause cause) {
    AttemptState a = find(id);
    if (a == null) {
      return;
    }
    over(a);
    CallState c = a.call();
    failed(a, cause.name(), true);
    strike(at, a, cause.name(), cause == FailureCause.TIMED_OUT);
    c.without.add(a.upstream().upstream().id());
    if (!a.runs()) {
      run(at, c, new Purpose.Run(), settings.place());
    } else if (mayRunAgain(at, c)) {
      run(at, c, new Purpose.Run(), settings.place());
    } else {
      giveUp(at, c, ErrorKind.UPSTREAM_FAILED, cause.name());
    }
  }

  private void strike(long at, AttemptState a, String cause, boolean hard) {
    long time = a.upstream().struck(at, hard);
    if (time > 0) {
      report(new RelayFact.Ejected(a.upstream().upstream().id(), cause, time));
    }
  }

  private void failed(AttemptState a, String cause, boolean mayHaveRun) {
    report(
        new RelayFact.AttemptFailed(
            a.call().call.wireId(),
            a.id(),
            a.upstream().upstream().id(),
            cause,
            mayHaveRun && a.runs()));
  }

  /** The caller is gone. */
  public void callerLeft(long at, RequestId id) {
    CallState c = calls.remove(id);
    if (c == null) {
      return;
    }
    report(new RelayFact.CallerLeft(c.call.wireId(), c.rule.name().value(), at - c.arrivedAt));
    cancel(c);
  }

  private void cancel(CallState c) {
    AttemptState a = c.attempt;
    if (a != null) {
      over(a);
      effects.accept(new RelayEffect.Cancel(a.id()));
    }
  }

  /** Time has passed. */
  public void ticked(long at) {
    for (Timers.Due due = timers.poll(at); due != null; due = timers.poll(at)) {
      switch (due) {
        case Timers.Due.Deadline d -> deadline(at, d.call());
        case Timers.Due.Patience p -> impatient(at, p.attempt());
      }
    }
  }

  private void deadline(long at, RequestId id) {
    CallState c = calls.get(id);
    if (c == null) {
      return;
    }
    AttemptState a = c.attempt;
    cancel(c);
    if (a != null) {
      failed(a, "DEADLINE", true);
    }
    ErrorKind kind = c.runs > 0 ? ErrorKind.DEADLINE_EXCEEDED : ErrorKind.OVERLOADED;
    giveUp(at, c, kind, "no answer after " + (at - c.arrivedAt) / MILLI + " ms");
  }

  private void impatient(long at, AttemptId id) {
    AttemptState a = find(id);
    if (a == null || a.call().began) {
      return;
    }
    if (a.runs() && !mayRunAgain(at, a.call())) {
      return;
    }
    effects.accept(new RelayEffect.Cancel(id));
    lost(at, id, FailureCause.TIMED_OUT);
  }

  /** Ends a call with what is true of it: the kind if nothing may have run, a failure else. */
  private void giveUp(long at, CallState c, ErrorKind kind, String detail) {
    calls.remove(c.call.id());
    boolean mayHaveRun = c.runs > 0;
    ErrorKind told =
        mayHaveRun && kind.status() == ErrorKind.OVERLOADED.status()
            ? ErrorKind.UPSTREAM_FAILED
            : kind;
    if (c.began) {
      report(fact(c, told, detail, at));
      effects.accept(new RelayEffect.Cut(c.call.id(), told));
      return;
    }
    report(fact(c, told, detail, at));
    long after = mayHaveRun ? 0 : RETRY_AFTER_MILLIS;
    effects.accept(new RelayEffect.Refuse(c.call.id(), told, after, detail));
  }

  private static RelayFact fact(CallState c, ErrorKind kind, String detail, long at) {
    return new RelayFact.Refused(
        c.call.wireId(), c.rule.name().value(), kind, detail, c.sends, c.runs, at - c.arrivedAt);
  }

  private void refuse(
      RelayCall call,
      String rule,
      ErrorKind kind,
      long retryAfter,
      String detail,
      long arrivedAt,
      long at) {
    report(new RelayFact.Refused(call.wireId(), rule, kind, detail, 0, 0, at - arrivedAt));
    effects.accept(new RelayEffect.Refuse(call.id(), kind, retryAfter, detail));
  }

  private void report(RelayFact fact) {
    effects.accept(new RelayEffect.Report(fact));
  }
}
