/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.event.FailureCause;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.lib.Fingerprint;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.UpstreamLife;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.lib.WorkspaceName;
import org.larkkeel.quota.QuotaAsk;
import org.larkkeel.quota.QuotaGrant;
import org.larkkeel.quota.QuotaHolder;
import org.larkkeel.quota.TokenLimit;
import org.larkkeel.relay.AnswerGrade;
import org.larkkeel.relay.MoveResult;
import org.larkkeel.relay.ProbeResult;
import org.larkkeel.relay.RefusalCause;
import org.larkkeel.relay.RelayCall;
import org.larkkeel.relay.RelayConfiguration;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RelayEffect.Purpose;
import org.larkkeel.relay.RelayFact;
import org.larkkeel.relay.RelaySettings;
import org.larkkeel.relay.RelayUpstream;
import org.larkkeel.relay.RoomAsk;
import org.larkkeel.relay.RoomKeeping;
import org.larkkeel.relay.ServiceBounds;
import org.larkkeel.relay.ServiceName;
import org.larkkeel.relay.Stage;
import org.larkkeel.relay.Suspect;
import org.larkkeel.relay.UpstreamNotice;

/**
 * The way of each call: where it is sent, what follows a failure, and its final answer.
 *
 * <p>It decides what comes next and leaves the rest to classes with one job: {@link Admission}
 * takes calls in, {@link Rooms} has the calls that wait for memory, {@link Attempts} what is in
 * flight, {@link Patience} how long that is waited for, {@link RetryBudget} what may be repeated,
 * {@link Prompts} what was read for others, {@link Evacuation} the runs that move, and {@link
 * FinalAnswers} what callers are told.
 *
 * <p>Invariants: a call that may run once is sent to be run only while no earlier send may have run
 * it; each call gets exactly one of {@code Deliver}, {@code Refuse} and {@code Cut}, unless its
 * caller left; memory is set aside at one upstream for each call in progress that needs any. Not
 * safe for use by several threads.
 */
public final class Flow {
  private static final long MILLI = 1_000_000L;

  /** The most sends of one call, those included that reached no upstream. */
  private static final int MOST_SENDS = 6;

  private static final long RETRY_AFTER_MILLIS = 200;

  /** Why an attempt is lost whose upstream has started again. */
  private static final String UPSTREAM_RESTARTED = "UPSTREAM_RESTARTED";

  private final RelaySettings settings;
  private final Fleet fleet;
  private final SplittableRandom random;
  private final Timers timers = new Timers();
  private final Rooms rooms;
  private final Evacuation evacuation;
  private final EndedLives endedLives;
  private final CrashGuard guard;
  private final Map<RequestId, CallState> calls = new HashMap<>();
  private final Attempts attempts;
  private final Prompts prompts;
  private final FinalAnswers answers;
  private final RetryBudget repeats;
  private final Admission admission;
  private final Quotas quotas;
  private Consumer<RelayEffect> effects = e -> {};
  private boolean draining;

  /** Begins without a configuration. */
  public Flow(RelaySettings settings) {
    this.settings = settings;
    this.random = new SplittableRandom(settings.seed());
    this.fleet = new Fleet(settings.missingNanos(), random.split());
    this.rooms = new Rooms(fleet, timers, random, settings, new Roomy());
    this.attempts = new Attempts(fleet, timers, this::emit);
    this.prompts = new Prompts(fleet, this::emit);
    this.answers = new FinalAnswers(this::emit);
    this.repeats = new RetryBudget(settings);
    this.evacuation = new Evacuation(fleet, timers, new Movable());
    this.endedLives = new EndedLives(rooms, evacuation, new Endable());
    this.guard = new CrashGuard(~settings.seed(), this::emit, new Guarded());
    this.admission = new Admission(fleet, random, guard, answers, this::emit);
    this.quotas =
        new Quotas(
            timers,
            new SplittableRandom(settings.seed() + 1),
            settings.tolerance(),
            settings.nodes(),
            new Counted(),
            this::emit);
  }

  /** Sets where effects go. */
  public void effects(Consumer<RelayEffect> sink) {
    effects = sink;
  }

  /** The configuration in force. */
  public Optional<RelayConfiguration> configuration() {
    return Optional.ofNullable(admission.configuration());
  }

  /** Whether it can place calls. */
  public boolean isReady() {
    return admission.isReady();
  }

  /** The calls without a final answer. */
  public int inProgress() {
    return calls.size();
  }

  /** How many upstreams are known. */
  public int upstreamCount() {
    return fleet.size();
  }

  /** What this node has in flight at each upstream. */
  public ImmutableMap<UpstreamLife, Long> loads() {
    return fleet.loads();
  }

  /** The upstreams whose prompts this node has found to be lost at once. */
  public ImmutableSet<UpstreamLife> lapsing(long at) {
    return fleet.lapsing(at);
  }

  /** When a tick is due; {@link Long#MAX_VALUE} if none is. */
  public long nextDue() {
    return timers.next();
  }

  /** Takes over a configuration that is not older than that in force. */
  public void read(RelayConfiguration read) {
    admission.read(read);
  }

  /** Takes over changes of the list of upstreams. */
  public void upstreams(
      long at,
      ImmutableMap<UpstreamName, RelayUpstream> changed,
      ImmutableSet<UpstreamName> removed) {
    List<UpstreamState> ended = fleet.update(at, changed, removed, this::report);
    ended.forEach(s -> guard.lifeEnded(at, s.life(), "restarted"));
    fleet.missing(removed).forEach(s -> guard.lifeEnded(at, s.life(), "missing"));
    endedLives.end(at, ended);
    fleet.forget(at, this::report);
    evacuation.look(at);
    rooms.admitWaiting(at);
  }

  /** Takes over what another node has in flight. */
  public void heard(
      long at,
      HostName node,
      ImmutableMap<UpstreamLife, Long> loads,
      ImmutableSet<UpstreamLife> lapsing) {
    fleet.heard(at, node, loads);
    lapsing.forEach(id -> fleet.find(id).ifPresent(s -> s.handleLapsedElsewhere(at)));
    forgetSilent(at);
    rooms.loadChanged(at);
  }

  private void forgetSilent(long at) {
    fleet.forgetSilent(at);
    rooms.forgetSilent(at);
  }

  /** Sets who gives room from now on. */
  public void keeping(long at, RoomKeeping now) {
    rooms.keeping(at, now);
  }

  /** The calls for which another node is to be asked for room. */
  public ImmutableList<RoomAsk> asks(long at) {
    return rooms.asks(at);
  }

  /** Another node asks for room. */
  public void roomAsked(long at, HostName node, DataCentreName place, ImmutableList<RoomAsk> asks) {
    rooms.asked(at, node, place, asks);
  }

  /** Room was given to a call. */
  public void roomGranted(
      long at, RequestId call, UpstreamLife home, Optional<UpstreamLife> reader) {
    CallState c = calls.get(call);
    if (c != null) {
      rooms.granted(at, c, home, reader);
    }
  }

  /** Lets an upstream that is ordered to change take no work. */
  public void ordered(long at, UpstreamLife id, long longestNanos) {
    Optional<UpstreamState> found = fleet.find(id);
    if (admission.configuration() == null || found.isEmpty()) {
      return;
    }
    UpstreamState s = found.get();
    s.ordered(bounds(s.upstream().service()).memoryTokens());
    timers.add(new Timers.Due.OrderOver(at + longestNanos, id));
  }

  /** An order is over, or was turned down. */
  public void orderOver(long at, UpstreamLife id) {
    fleet.find(id).ifPresent(UpstreamState::orderOver);
    rooms.admitWaiting(at);
  }

  /** Sends what waits for room elsewhere, and from now on each call that needs room. */
  public void drain(long at) {
    draining = true;
    rooms.drain(at);
  }

  /** Sets over how many nodes the slack of the budget is split. */
  public void nodes(long at, int count) {
    repeats.nodes(count);
    quotas.nodes(at, count);
  }

  /** A call has arrived. */
  public void arrived(long at, RelayCall call) {
    admission.admit(at, call).ifPresent(c -> admitted(at, c));
  }

  private void admitted(long at, CallState c) {
    calls.put(c.call.id(), c);
    timers.add(new Timers.Due.Deadline(c.deadline, c.call.id()));
    quotas.admit(at, c);
  }

  /** Goes on with a call that is within its quota. */
  private void withinQuota(long at, CallState c) {
    repeats.first(at, c.service);
    if (rooms.needsRoom(c)) {
      rooms.settle(at, c);
    } else {
      run(at, c);
    }
  }

  /** Begins the work on a call for which memory is set aside. */
  private void begin(long at, CallState c, Optional<Choice> reader) {
    if (reader.isPresent()) {
      send(at, c, reader.get(), new Purpose.ReadPrompt(), c.call.size().prompt());
    } else {
      run(at, c);
    }
  }

  /** Sends the call to be run: at its home if it has one that still takes work. */
  private void run(long at, CallState c) {
    boolean memory = rooms.needsRoom(c);
    if (memory && ((c.home != null && isUsable(at, c, c.home)) || rooms.findHome(at, c))) {
      send(at, c, new Choice(c.home, 0, "", 0, 1), purpose(at, c), 0);
    } else if (!memory) {
      place(at, c, rooms.need(c, at));
    } else if (draining || !fleet.has(at, c.service, c.without)) {
      place(at, c, Sizing.forced(rooms.need(c, at)));
    } else {
      prompts.free(c);
      rooms.await(at, c);
    }
  }

  /** Sends the call to the upstream that fits best; gives it up if there is none. */
  private void place(long at, CallState c, Need need) {
    Optional<Choice> choice =
        fleet.choose(at, c.service, Stage::runs, c.without, settings.place(), need);
    if (choice.isEmpty()) {
      prompts.free(c);
      noUpstream(at, c);
      return;
    }
    boolean memory = rooms.needsRoom(c);
    if (memory) {
      c.moveIn(choice.get().best(), need.units());
    }
    send(at, c, choice.get(), purpose(at, c), memory ? 0 : need.units());
  }

  private void noUpstream(long at, CallState c) {
    OptionalLong rested = fleet.restsUntil(at, c.service, c.without);
    if (rested.isPresent()) {
      long millis = RoomTimes.restMillis(at, rested.getAsLong(), random);
      giveUp(at, c, ErrorKind.OVERLOADED, millis, "all upstreams of " + c.service + " rest");
    } else {
      giveUp(at, c, ErrorKind.NO_UPSTREAM, "no upstream of " + c.service + " is left");
    }
  }

  private Purpose purpose(long at, CallState c) {
    if (c.prompt != null) {
      return c.prompt;
    }
    return rooms.keeps(at, c).<Purpose>map(Purpose.Fetch::new).orElseGet(Purpose.Run::new);
  }

  private boolean isUsable(long at, CallState c, UpstreamState s) {
    return s.takesWork(at) && !s.isMissing() && !s.isAvoided(at) && !c.without.contains(s.life());
  }

  private void send(long at, CallState c, Choice choice, Purpose purpose, long units) {
    if (!(purpose instanceof Purpose.Continue) && !admission.isAllowed(c)) {
      giveUp(at, c, ErrorKind.UNAUTHENTICATED, 0, Admission.refusal(c.call));
      return;
    }
    long left = guard.remainingNanos(at, c.call);
    if (left > 0) {
      giveUp(at, c, ErrorKind.QUARANTINED, left / MILLI, CrashGuard.REFUSAL);
      return;
    }
    if (c.sends >= MOST_SENDS) {
      giveUp(at, c, ErrorKind.OVERLOADED, "sent " + c.sends + " times");
      return;
    }
    boolean repeat = c.arrivals > 0;
    if (repeat && !repeats.take(at, c.service)) {
      report(repeats.spent(at, c));
      giveUp(at, c, ErrorKind.OVERLOADED, "the budget of repeats is used up");
      return;
    }
    attempts.begin(at, c, choice, purpose, repeat, units);
  }

  /** The attempt if it is in flight still, or null. */
  private AttemptState find(AttemptId id) {
    return attempts.find(id).orElse(null);
  }

  private void over(AttemptState a) {
    evacuation.abandon(a);
    attempts.over(a);
  }

  /**
   * Takes a call out; what was set aside for it, and its prompt if nobody took it, is free again.
   */
  private void remove(CallState c) {
    calls.remove(c.call.id());
    prompts.free(c);
    rooms.remove(c);
    quotas.remove(c);
    c.moveOut();
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
    RelayUpstream source = a.upstream().upstream();
    report(new RelayFact.PromptRead(c.call.wireId(), id, source.id(), at - a.sentAt()));
    c.reader = source.life();
    c.prompt = new Purpose.TakeOver(source, handle);
    run(at, c);
  }

  private void learn(long at, AttemptState a) {
    prompts.confirmLapse(at, a);
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
    if (a.continues()) {
      evacuation.began(id);
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
    report(
        new RelayFact.Began(c.call.wireId(), id, a.upstream().upstream().id(), at - c.arrivedAt));
    effects.accept(new RelayEffect.Follow(c.call.id(), id));
  }

  /** A stream has gone on. */
  public void progressed(AttemptId id, int events) {
    AttemptState a = find(id);
    if (a == null || a.call().home == null) {
      return;
    }
    CallState c = a.call();
    c.generated += (long) events * bounds(c.service).tokensPerEvent();
    long units = Sizing.memory(c);
    c.home.addLoad(units - c.homeUnits);
    c.homeUnits = units;
  }

  /** A whole answer is there. */
  public void answered(long at, AttemptId id, AnswerGrade grade) {
    AttemptState a = find(id);
    if (a == null || evacuation.holds(at, id, Optional.of(grade))) {
      return;
    }
    CallState c = a.call();
    guard.answered(at, c.call);
    if (grade == AnswerGrade.GOOD && !c.began) {
      learn(at, a);
    } else if (grade == AnswerGrade.FAILED) {
      a.upstream().failed(at);
      if (mayRunAgain(at, c)) {
        over(a);
        attempts.failed(a, "answered_failure", true);
        again(at, a);
        return;
      }
    }
    if (grade == AnswerGrade.GOOD) {
      evacuation.began(id);
    }
    over(a);
    if (c.began && grade != AnswerGrade.GOOD) {
      // The caller has the beginning of a stream: another answer can not take its place.
      attempts.failed(a, "answered_failure", true);
      giveUp(at, c, ErrorKind.UPSTREAM_FAILED, "the stream could not go on");
      return;
    }
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
    c.prompt = null;
    remove(c);
    effects.accept(new RelayEffect.Deliver(c.call.id(), id));
    rooms.admitWaiting(at);
  }

  /** Runs a call at another upstream than that of an attempt. */
  private void again(long at, AttemptState a) {
    a.call().suspect = null;
    a.call().without.add(a.upstream().life());
    run(at, a.call());
  }

  /** Whether a call whose last send may have run may be sent once more. */
  private boolean mayRunAgain(long at, CallState c) {
    return c.rule.kind().isRepeatable()
        && c.runs < c.rule.maxRuns()
        && c.sends < MOST_SENDS
        && at < c.deadline
        && repeats.allows(at, c.service);
  }

  /** An attempt has not run. */
  public void refused(long at, AttemptId id, RefusalCause cause) {
    AttemptState a = find(id);
    if (a == null) {
      return;
    }
    over(a);
    CallState c = a.call();
    if (a.beginsRun()) {
      c.runs--;
    }
    attempts.failed(a, cause.name(), false);
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
      run(at, c);
    } else {
      giveUp(at, c, ErrorKind.UPSTREAM_FAILED, "the copy of its run was " + cause);
    }
  }

  /** Takes back what was counted for a send that reached nobody; the call goes elsewhere. */
  private boolean notSent(long at, AttemptState a) {
    a.call().arrivals--;
    if (a.repeat()) {
      repeats.giveBack(a.sentAt(), a.call().service);
    }
    strike(at, a, RefusalCause.NOT_SENT.name(), true);
    return false;
  }

  /** The upstream is not what was listed; the call goes elsewhere. */
  private boolean replaced(long at, AttemptState a) {
    a.upstream().replaced(at);
    guard.lifeEnded(at, a.upstream().life(), "address_taken");
    return false;
  }

  /** Whether a declined call goes on at the same upstream. */
  private boolean declined(long at, AttemptState a) {
    if (a.purpose() instanceof Purpose.TakeOver t && readsItself(at, a, t)) {
      return true;
    }
    long until = a.upstream().declined(at);
    timers.add(new Timers.Due.Contest(until));
    return false;
  }

  /** Whether a call whose prompt was declined goes on at the same upstream, which reads it. */
  private boolean readsItself(long at, AttemptState a, Purpose.TakeOver prompt) {
    CallState c = a.call();
    if (prompts.goesOnElsewhere(c, prompt, () -> hasOther(at, a))) {
      return false;
    }
    if (!a.upstream().takesWork(at)) {
      return false;
    }
    send(at, c, new Choice(a.upstream(), 0, "", 0, 1), purpose(at, c), 0);
    return true;
  }

  private boolean hasOther(long at, AttemptState a) {
    CallState c = a.call();
    Set<UpstreamLife> without = new HashSet<>(c.without);
    without.add(a.upstream().life());
    return fleet
        .choose(at, c.service, Stage::runs, without, settings.place(), rooms.need(c, at))
        .isPresent();
  }

  /** An attempt may have run, and its answer is lost. */
  public void lost(long at, AttemptId id, FailureCause cause) {
    AttemptState a = find(id);
    if (a == null || evacuation.holds(at, id, Optional.empty())) {
      return;
    }
    over(a);
    CallState c = a.call();
    prompts.free(c);
    attempts.failed(a, cause.name(), true);
    if (cause == FailureCause.CONNECTION_LOST) {
      attempts.broken(at, a);
      guard.broken(at, a);
    }
    strike(at, a, cause.name(), cause == FailureCause.TIMED_OUT);
    goOnWithout(at, a, cause.name());
  }

  /** Sends a call elsewhere whose attempt is lost, if it may; else it ends. */
  private void goOnWithout(long at, AttemptState a, String cause) {
    if (!a.runs() || mayRunAgain(at, a.call())) {
      again(at, a);
    } else {
      giveUp(at, a.call(), ErrorKind.UPSTREAM_FAILED, cause);
    }
  }

  private void strike(long at, AttemptState a, String cause, boolean hard) {
    long time = a.upstream().struck(at, hard);
    if (time > 0) {
      report(new RelayFact.Ejected(a.upstream().upstream().id(), cause, time));
    }
  }

  // What upstreams say of themselves.

  /** An answer of an upstream says something of the upstream itself. */
  public void noticed(long at, UpstreamLife life, UpstreamNotice notice) {
    fleet.find(life).ifPresent(s -> noticed(at, s, notice));
  }

  private void noticed(long at, UpstreamState s, UpstreamNotice notice) {
    if (notice.leaving() && fleet.saysLeaving(s, this::report)) {
      evacuation.look(at);
    }
    if (notice.restNanos() > 0) {
      s.rest(at, notice.restNanos());
      timers.add(new Timers.Due.Contest(s.restUntil()));
      report(new RelayFact.Rests(s.upstream().id(), notice.restNanos()));
    }
  }

  /** Whether requests may be sent to a life of an upstream, as far as it has said itself. */
  public boolean mayReach(long at, UpstreamLife life) {
    return fleet.find(life).map(s -> s.takesWork(at)).orElse(true);
  }

  // Requests under which upstreams end.

  /** A probe of an upstream was answered. */
  public void probed(long at, UpstreamLife life, ProbeResult result) {
    guard.probed(at, life, result);
  }

  /** What other nodes are to know of requests under which upstreams ended. */
  public ImmutableList<Suspect> suspects(long at) {
    return guard.suspects(at);
  }

  /** For how long a request is quarantined still; 0 if it is not. */
  public long quarantinedNanos(long at, Fingerprint request) {
    return guard.remainingNanos(at, request);
  }

  /** Takes over what another node knows of such requests. */
  public void suspectsHeard(long at, ImmutableList<Suspect> told) {
    guard.heard(at, told);
  }

  /** An operator lets a request be sent again. */
  public void released(long at, Fingerprint request) {
    guard.released(at, request);
  }

  /** What is quarantined meanwhile is not sent any more. */
  private final class Guarded implements CrashGuard.Calls {
    @Override
    public List<CallState> idle() {
      return calls.values().stream().filter(c -> c.attempt == null).toList();
    }

    @Override
    public void refuse(long at, CallState c, long remainingNanos) {
      if (calls.containsKey(c.call.id())) {
        giveUp(at, c, ErrorKind.QUARANTINED, remainingNanos / MILLI, CrashGuard.REFUSAL);
      }
    }
  }

  // Moves: runs at upstreams that leave go on elsewhere with their memory.

  /** A step of a move was answered. */
  public void moved(long at, AttemptId id, MoveResult result) {
    evacuation.moved(at, id, result);
  }

  /** What moves need of the calls. */
  private final class Movable implements Evacuation.Runs {
    @Override
    public List<AttemptState> attempts() {
      return attempts.all();
    }

    @Override
    public Optional<UpstreamState> destination(long at, AttemptState a) {
      CallState c = a.call();
      Set<UpstreamLife> without = new HashSet<>(c.without);
      without.add(a.upstream().life());
      Need need = Sizing.move(c, admission.configuration(), repeats.nodes());
      return fleet
          .choose(at, c.service, Stage::runs, without, a.upstream().upstream().place(), need)
          .map(Choice::best);
    }

    @Override
    public boolean mayMove(long at, AttemptState a) {
      CallState c = a.call();
      return c.attempt == a
          && c.began
          && a.runs()
          && c.sends < MOST_SENDS
          && bounds(c.service).movesRuns()
          && repeats.allows(at, c.service);
    }

    @Override
    public void ended(long at, AttemptId id, Optional<AnswerGrade> end) {
      if (end.isPresent()) {
        answered(at, id, end.get());
      } else {
        lost(at, id, FailureCause.CONNECTION_LOST);
      }
    }

    @Override
    public Optional<AttemptId> goOn(long at, Evacuation.Move move, String handle) {
      AttemptState a = move.attempt;
      over(a);
      if (!move.destination.takesWork(at)) {
        goOnWithout(at, a, "DESTINATION_CLOSED");
        return Optional.empty();
      }
      a.call().moveIn(move.destination, move.units);
      Purpose goOn = new Purpose.Continue(a.upstream().upstream(), handle);
      send(at, a.call(), new Choice(move.destination, 0, "", 0, 1), goOn, 0);
      return Optional.ofNullable(a.call().attempt).map(AttemptState::id);
    }

    @Override
    public void emit(RelayEffect effect) {
      effects.accept(effect);
    }
  }

  /** What the end of an upstream's life needs of the calls. */
  private final class Endable implements EndedLives.Runs {
    @Override
    public List<CallState> calls() {
      return List.copyOf(calls.values());
    }

    @Override
    public void lost(long at, AttemptState a) {
      guard.endedWith(at, a, "restarted");
      cancel(a.call());
      a.call().prompt = null;
      attempts.failed(a, UPSTREAM_RESTARTED, true);
      goOnWithout(at, a, UPSTREAM_RESTARTED);
    }
  }

  // Quotas.

  /** The coordinator of quotas has answered. */
  public void quotaGranted(long at, QuotaGrant grant) {
    quotas.granted(at, grant);
  }

  /** Another node is the coordinator of quotas now. */
  public void quotaCoordinatorChanged(long at) {
    quotas.coordinatorChanged(at);
  }

  /** What the coordinator of quotas is to be asked now. */
  public Optional<QuotaAsk> quotaAsk(long at, boolean heartbeat) {
    return quotas.ask(at, heartbeat);
  }

  /** Whether calls wait for tokens of their quotas. */
  public boolean awaitsQuota() {
    return quotas.hasWaiting();
  }

  /** The limit of a workspace; empty if there is no such workspace. */
  public Optional<TokenLimit> limit(WorkspaceName workspace) {
    return quotas.limit(workspace);
  }

  /** Whose quotas are counted. */
  private final class Counted implements Quotas.Calls {
    @Override
    public RelayConfiguration configuration() {
      return admission.configuration();
    }

    @Override
    public Optional<CallState> find(QuotaHolder.Outcome outcome) {
      return Optional.ofNullable(calls.get(outcome.call()));
    }

    @Override
    public void admitted(long at, CallState c) {
      withinQuota(at, c);
    }

    @Override
    public void refuse(long at, CallState c, ErrorKind kind, long retryAfter, String detail) {
      giveUp(at, c, kind, retryAfter, detail);
    }
  }

  /** What room is needed for. */
  private final class Roomy implements Rooms.Calls {
    @Override
    public RelayConfiguration configuration() {
      return admission.configuration();
    }

    @Override
    public int nodes() {
      return repeats.nodes();
    }

    @Override
    public boolean isDraining() {
      return draining;
    }

    @Override
    public boolean isUsable(long at, CallState c, UpstreamState s) {
      return Flow.this.isUsable(at, c, s);
    }

    @Override
    public void begin(long at, CallState c, Optional<Choice> reader) {
      Flow.this.begin(at, c, reader);
    }

    @Override
    public void force(long at, CallState c) {
      place(at, c, Sizing.forced(rooms.need(c, at)));
    }

    @Override
    public void giveUp(long at, CallState c, ErrorKind kind, String detail) {
      Flow.this.giveUp(at, c, kind, detail);
    }

    @Override
    public void sendBack(long at, CallState c, long retryAfter, String detail) {
      Flow.this.giveUp(at, c, ErrorKind.OVERLOADED, retryAfter, detail);
    }

    @Override
    public void emit(RelayEffect effect) {
      effects.accept(effect);
    }
  }

  /** The caller is gone. */
  public void callerLeft(long at, RequestId id) {
    CallState c = calls.get(id);
    if (c == null) {
      return;
    }
    report(new RelayFact.CallerLeft(c.call.wireId(), c.rule.name().value(), at - c.arrivedAt));
    cancel(c);
    remove(c);
    rooms.admitWaiting(at);
  }

  private void cancel(CallState c) {
    AttemptState a = c.attempt;
    if (a != null) {
      effects.accept(new RelayEffect.Cancel(a.id()));
      over(a);
    }
  }

  /**
   * The machine was suspended: deadlines that have passed end their calls, and what others told
   * before is forgotten, before anything is sent.
   */
  public void resumed(long at, long suspendedNanos) {
    report(new RelayFact.Resumed(suspendedNanos));
    quotas.resumed(at);
    ticked(at);
  }

  /** Time has passed. */
  public void ticked(long at) {
    for (Timers.Due due = timers.poll(at); due != null; due = timers.poll(at)) {
      switch (due) {
        case Timers.Due.Deadline d -> deadline(at, d.call());
        case Timers.Due.Contest t -> rooms.contestOver(at);
        case Timers.Due.Room r -> roomTime(at, r.call());
        case Timers.Due.Evacuate e -> evacuation.due(at, e.upstream());
        case Timers.Due.OrderOver o -> orderOver(at, o.upstream());
        case Timers.Due.MoveOver m -> evacuation.overdue(at, m.attempt());
        case Timers.Due.Quota q ->
            Optional.ofNullable(calls.get(q.call())).ifPresent(c -> quotas.due(at, c));
        case Timers.Due.Patience p -> impatient(at, p.attempt());
      }
    }
    forgetSilent(at);
  }

  private void roomTime(long at, RequestId id) {
    CallState c = calls.get(id);
    if (c != null) {
      rooms.due(at, c);
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
      attempts.failed(a, "DEADLINE", true);
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

  private void giveUp(long at, CallState c, ErrorKind kind, String detail) {
    giveUp(at, c, kind, RETRY_AFTER_MILLIS, detail);
  }

  private void giveUp(long at, CallState c, ErrorKind kind, long retryAfter, String detail) {
    remove(c);
    answers.end(at, c, kind, retryAfter, detail);
    rooms.admitWaiting(at);
  }

  private ServiceBounds bounds(ServiceName service) {
    return admission.configuration().bounds(service);
  }

  private void emit(RelayEffect effect) {
    effects.accept(effect);
  }

  private void report(RelayFact fact) {
    effects.accept(new RelayEffect.Report(fact));
  }
}
