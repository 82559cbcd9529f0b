/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.fleet;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import org.larkkeel.bench.experiment.fake.Timeline;
import org.larkkeel.daemon.relay.LoadSharing;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.quota.QuotaTolerance;
import org.larkkeel.relay.MoveResult;
import org.larkkeel.relay.PromptKey;
import org.larkkeel.relay.RateLimitNotice;
import org.larkkeel.relay.RelayCall;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RelayEvent;
import org.larkkeel.relay.RelayFact;
import org.larkkeel.relay.RelayRouter;
import org.larkkeel.relay.RelaySettings;
import org.larkkeel.relay.RelayUpstream;
import org.larkkeel.relay.UpstreamNotice;

/**
 * One node: the real reducer and the real sharing of load, and between them and the models what the
 * sockets of a process would do.
 *
 * <p>Invariant: of an attempt that is over nothing reaches the reducer any more. Not safe for use
 * by several threads.
 */
final class SimNode implements LoadSharing.Environment, Job.Sender {
  private static final long MILLI = 1_000_000L;
  private static final double REPEAT_SHARE = 0.2;
  private static final double REPEAT_SLACK = 100;
  private static final long REPEAT_WINDOW = 10_000 * MILLI;
  private static final int STAGE_TOKENS = 512;
  private static final long MISSING = 1_500 * MILLI;

  final InetSocketAddress address;

  /** How many nodes come before it by name. */
  final int index;

  private final FleetModel fleet;
  private final Timeline time;
  private final SimProcess process;
  private final RelayRouter router;
  private final LoadSharing sharing;
  private final Map<AttemptId, Job> live = new HashMap<>();
  private final Map<RequestId, Caller> callers = new HashMap<>();
  private final Map<AttemptId, Caller> followed = new HashMap<>();

  /** Whose whole answers are on their way to this node. */
  private final Set<Job> answers = new LinkedHashSet<>();

  private final Deque<RelayEvent> queue = new ArrayDeque<>();
  private long lastCall;
  private boolean applying;

  /** Whose whole answer is being taken; null if none is. */
  private Job completing;

  private long tickAt = Long.MAX_VALUE;
  private Timeline.Timer tick;
  private long wastedByRouter;

  SimNode(FleetModel fleet, int index, long seed) {
    this.fleet = fleet;
    this.index = index;
    this.time = fleet.time();
    this.process = new SimProcess(time);
    this.address = new InetSocketAddress("10.1." + index / 250 + "." + (index % 250 + 1), 7_000);
    this.router =
        new RelayRouter(
            new RelaySettings(
                FleetModel.PLACE,
                REPEAT_SHARE,
                REPEAT_SLACK,
                REPEAT_WINDOW,
                1,
                STAGE_TOKENS,
                MISSING,
                seed,
                QuotaTolerance.NONE));
    HostName name = new HostName("node-%04d".formatted(index));
    this.sharing =
        new LoadSharing(name, FleetModel.PLACE, fleet.scenario().nodes().allocatorFrom(), this);
    sharing.suspects(() -> router.suspects(now()));
    sharing.quotas(router);
  }

  /** Meets the others and takes over the configuration and the upstreams. */
  void start(long phase) {
    fleet.nodes().stream().filter(n -> n != this).forEach(n -> sharing.addPeer(n.address));
    submit(new RelayEvent.ConfigurationRead(now(), fleet.configuration()));
    submit(new RelayEvent.UpstreamsChanged(now(), fleet.upstreams(), ImmutableSet.of()));
    process.after(phase, this::periodic);
  }

  /** Its process stands still. */
  void freeze() {
    process.freeze();
  }

  /** Its process goes on. */
  void thaw() {
    process.thaw();
  }

  /** Its machine is suspended. */
  void suspend() {
    process.suspend();
  }

  /** Its machine goes on, and knows for how long it did not. */
  void resume() {
    long nanos = process.resume();
    if (nanos > 0) {
      process.run(
          () -> {
            submit(new RelayEvent.Resumed(now(), nanos));
            sharing.resumed();
          });
      process.release();
    }
  }

  /** The list of upstreams has changed. */
  void upstreamChanged(RelayUpstream upstream) {
    process.run(
        () ->
            submit(
                new RelayEvent.UpstreamsChanged(
                    now(), ImmutableMap.of(upstream.name(), upstream), ImmutableSet.of())));
  }

  /** Its process ends: callers and upstreams see their connections break. */
  void kill() {
    process.end();
    live.values().forEach(job -> fleet.overNetwork(() -> fleet.cancel(job)));
    live.clear();
    followed.clear();
    answers.forEach(job -> job.settle(ReadCause.CANCELLED));
    answers.clear();
    List.copyOf(callers.values()).forEach(c -> fleet.overNetwork(() -> c.lost(true)));
    callers.clear();
  }

  private void periodic() {
    sharing.periodic();
    process.after(LoadSharing.PERIOD_NANOS, this::periodic);
  }

  boolean hasEnded() {
    return process.hasEnded();
  }

  /** Tokens that the reducer itself has reported as read for nothing. */
  long wastedByRouter() {
    return wastedByRouter;
  }

  /** How many calls it has no final answer for. */
  int inProgress() {
    return router.inProgress();
  }

  @Override
  public SimEngine engine(UpstreamName id) {
    return fleet.engine(id);
  }

  // Callers.

  /** A try of a caller arrives. */
  void arrive(Caller caller) {
    if (process.hasEnded()) {
      fleet.overNetwork(() -> caller.lost(false));
    } else {
      process.run(() -> read(caller));
    }
  }

  private void read(Caller caller) {
    if (caller.isOver()) {
      return;
    }
    RequestId id = new RequestId(++lastCall);
    callers.put(id, caller);
    caller.isRead(id);
    FleetScenario.Calls kind = caller.kind();
    submit(
        new RelayEvent.Arrived(
            now(),
            new RelayCall(
                id,
                caller.name(),
                FleetModel.HOST,
                FleetModel.path(kind),
                caller.leftMillis(),
                caller.size(),
                new PromptKey(caller.name()),
                false,
                caller.identity(),
                Optional.empty())));
  }

  /** The caller of a call closes its connection. */
  void left(RequestId id) {
    process.run(
        () -> {
          if (callers.remove(id) != null) {
            submit(new RelayEvent.CallerLeft(now(), id));
          }
        });
  }

  /** Does something once a message from an upstream has come. */
  private void heard(Runnable action) {
    fleet.overNetwork(() -> process.run(action));
  }

  // Upstreams.

  @Override
  public void reply(Job job, LongFunction<RelayEvent> event) {
    heard(
        () -> {
          if (live.remove(job.attempt) != null) {
            submit(event.apply(now()));
          }
        });
  }

  @Override
  public void noticed(Job job, long sentAt, RateLimitNotice rate) {
    heard(
        () -> {
          UpstreamIncarnation life = fleet.upstreams().get(job.upstream).incarnation();
          if (rate instanceof RateLimitNotice.Limited || router.isRateLimited(life)) {
            UpstreamNotice notice = new UpstreamNotice(false, 0, rate);
            submit(new RelayEvent.Noticed(now(), life, sentAt, notice));
          }
        });
  }

  @Override
  public void promptRead(Job job, String handle) {
    reply(job, at -> new RelayEvent.PromptRead(at, job.attempt, handle));
  }

  @Override
  public void event(Job job, boolean first) {
    heard(
        () -> {
          if (!live.containsKey(job.attempt)) {
            return;
          }
          if (first) {
            submit(new RelayEvent.Began(now(), job.attempt));
          }
          Caller caller = followed.get(job.attempt);
          if (caller != null) {
            caller.event();
            submit(new RelayEvent.Progressed(now(), job.attempt, 1));
          }
        });
  }

  /** Its prompt was of use if the caller gets the answer. */
  @Override
  public void complete(Job job, LongFunction<RelayEvent> event) {
    if (process.hasEnded()) {
      job.settle(ReadCause.CANCELLED);
      return;
    }
    answers.add(job);
    heard(
        () -> {
          answers.remove(job);
          if (live.remove(job.attempt) != null) {
            completing = job;
            submit(event.apply(now()));
            completing = null;
          }
          job.settle(ReadCause.CANCELLED);
        });
  }

  // What the reducer and the sharing of load work in.

  @Override
  public void send(InetSocketAddress to, byte[] message) {
    fleet.datagram(this, to, message);
  }

  void receive(InetSocketAddress from, byte[] message) {
    process.run(() -> sharing.received(from, message));
  }

  @Override
  public void after(long nanos, Runnable action) {
    process.after(nanos, action);
  }

  @Override
  public long now() {
    return time.now();
  }

  @Override
  public void submit(RelayEvent event) {
    queue.add(event);
    if (applying) {
      return;
    }
    applying = true;
    for (RelayEvent next = queue.poll(); next != null; next = queue.poll()) {
      router.apply(next, this::effect);
    }
    applying = false;
    sharing.update(router.loads(), router.losingHandles(now()), router.reservationRequests(now()));
    arm();
  }

  private void arm() {
    long due = router.nextDue();
    if (due >= tickAt) {
      return;
    }
    if (tick != null) {
      tick.cancel();
    }
    tickAt = due;
    tick =
        process.at(
            due,
            () -> {
              tick = null;
              tickAt = Long.MAX_VALUE;
              submit(new RelayEvent.Ticked(now()));
            });
  }

  private void effect(RelayEffect effect) {
    switch (effect) {
      case RelayEffect.Send e -> place(e);
      case RelayEffect.Cancel e -> cancel(e.attempt());
      case RelayEffect.Move e ->
          submit(new RelayEvent.Moved(now(), e.attempt(), new MoveResult.Failed()));
      case RelayEffect.Free e -> fleet.overNetwork(() -> engine(e.source().name()).free(e.handle()));
      case RelayEffect.ForwardStream e -> follow(e);
      case RelayEffect.Deliver e -> deliver(e);
      case RelayEffect.Refuse e -> caller(e.call(), c -> c.refused(e.kind(), e.retryAfterMillis()));
      case RelayEffect.Cut e -> caller(e.call(), Caller::cut);
      case RelayEffect.GrantReservation e -> sharing.grant(e);
      case RelayEffect.Probe e -> probe(e.upstream());
      case RelayEffect.ReportSuspect e -> sharing.reportSuspect(e);
      case RelayEffect.Report e -> {
        if (e.fact() instanceof RelayFact.PromptWasted w) {
          wastedByRouter += w.tokens();
        }
      }
    }
  }

  private void place(RelayEffect.Send e) {
    Caller caller = callers.get(e.call());
    if (caller == null) {
      return;
    }
    Job job =
        new Job(
            this,
            e.attempt(),
            e.upstream().name(),
            e.purpose(),
            caller.prompt(),
            caller.output(),
            caller.kind().crashing() > 0);
    live.put(e.attempt(), job);
    fleet.overNetwork(
        () -> {
          if (live.containsKey(e.attempt())) {
            fleet.take(job);
          }
        });
  }

  private void probe(RelayUpstream upstream) {
    heard(() -> submit(new RelayEvent.Probed(now(), upstream.incarnation(), fleet.probe(upstream.name()))));
  }

  private void cancel(AttemptId attempt) {
    Job job = live.remove(attempt);
    followed.remove(attempt);
    if (job != null) {
      fleet.overNetwork(() -> fleet.cancel(job));
    }
  }

  private void follow(RelayEffect.ForwardStream e) {
    Caller caller = callers.get(e.call());
    if (caller != null) {
      followed.put(e.attempt(), caller);
    }
  }

  private void deliver(RelayEffect.Deliver e) {
    followed.remove(e.attempt());
    if (completing != null && completing.attempt.equals(e.attempt())) {
      completing.settle(ReadCause.USED);
    }
    caller(e.call(), Caller::delivered);
  }

  private void caller(RequestId id, Consumer<Caller> action) {
    Caller caller = callers.remove(id);
    if (caller != null) {
      fleet.overNetwork(() -> action.accept(caller));
    }
  }
}
