/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.fleet;

import com.google.common.collect.ImmutableList;
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
import org.larkkeel.event.FailureCause;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.quota.QuotaTolerance;
import org.larkkeel.relay.MoveResult;
import org.larkkeel.relay.ProbeResult;
import org.larkkeel.relay.PromptKey;
import org.larkkeel.relay.RateLimitNotice;
import org.larkkeel.relay.RefusalCause;
import org.larkkeel.relay.RelayCall;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RelayEvent;
import org.larkkeel.relay.RelayFact;
import org.larkkeel.relay.RelayRouter;
import org.larkkeel.relay.RelaySettings;
import org.larkkeel.relay.RelayUpstream;
import org.larkkeel.relay.UpstreamNotice;
import org.larkkeel.relay.UpstreamPath;

/**
 * One node: the production reducer and load sharing, connected to the models in place of the
 * sockets of a process.
 *
 * <p>Invariant: no event of an attempt reaches the reducer after the attempt has ended. Not safe
 * for use by several threads.
 */
final class SimNode implements LoadSharing.Environment, Job.Sender {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final double RETRY_SHARE = 0.2;
  private static final double RETRY_SLACK = 100;
  private static final long RETRY_WINDOW_NANOS = 10_000 * NANOS_PER_MILLI;
  private static final int STAGE_TOKENS = 512;
  private static final long RESET_NANOS = 2 * NANOS_PER_MILLI;
  private static final long CONNECT_TIMEOUT_NANOS = 600 * NANOS_PER_MILLI;
  private static final long PROBE_TIMEOUT_NANOS = 500 * NANOS_PER_MILLI;
  private static final long MISSING_NANOS = 1_500 * NANOS_PER_MILLI;

  final InetSocketAddress address;

  /** The position of this node in the order of names, from 0. */
  final int index;

  private final FleetModel model;
  private final Timeline time;
  private final SimProcess process;
  private final RelayRouter router;
  private final LoadSharing sharing;
  private final Map<AttemptId, Job> activeJobs = new HashMap<>();
  private final Map<RequestId, Caller> callersById = new HashMap<>();
  private final Map<AttemptId, Caller> streamingCallers = new HashMap<>();

  /** The attempts whose complete answers are in transit to this node. */
  private final Set<Job> answersInTransit = new LinkedHashSet<>();

  private final SimPaths paths = new SimPaths();
  private final Deque<RelayEvent> eventQueue = new ArrayDeque<>();
  private long callCount;
  private boolean isApplying;

  /** The attempt whose complete answer is being handled; null if there is none. */
  private Job completing;

  private long tickAt = Long.MAX_VALUE;
  private Timeline.Timer tickTimer;
  private long reportedWastedTokens;

  SimNode(FleetModel model, int index, long seed) {
    this.model = model;
    this.index = index;
    this.time = model.time();
    this.process = new SimProcess(time);
    this.address = new InetSocketAddress("10.1." + index / 250 + "." + (index % 250 + 1), 7_000);
    this.router =
        new RelayRouter(
            new RelaySettings(
                FleetModel.DATA_CENTRE,
                RETRY_SHARE,
                RETRY_SLACK,
                RETRY_WINDOW_NANOS,
                1,
                STAGE_TOKENS,
                MISSING_NANOS,
                seed,
                QuotaTolerance.NONE));
    HostName name = new HostName("node-%04d".formatted(index));
    this.sharing =
        new LoadSharing(
            name, FleetModel.DATA_CENTRE, model.scenario().nodes().allocatorFrom(), this);
    sharing.suspects(() -> router.suspects(now()));
    sharing.quotas(router);
  }

  /** Announces the peers, the configuration and the upstreams to this node and starts reporting. */
  void start(long initialDelayNanos) {
    model.nodes().stream().filter(n -> n != this).forEach(n -> sharing.addPeer(n.address));
    submit(new RelayEvent.ConfigurationRead(now(), model.configuration()));
    submit(new RelayEvent.UpstreamsChanged(now(), model.upstreams(), ImmutableSet.of()));
    process.after(initialDelayNanos, this::runPeriodic);
  }

  /** Freezes the process. */
  void freeze() {
    process.freeze();
  }

  /** Continues a frozen process. */
  void thaw() {
    process.thaw();
  }

  /** Suspends the machine. */
  void suspend() {
    process.suspend();
  }

  /** Resumes the machine and reports the duration of the suspension to the reducer. */
  void resume() {
    long nanos = process.resume();
    if (nanos > 0) {
      process.run(
          () -> {
            submit(new RelayEvent.Resumed(now(), nanos));
            sharing.resumed();
          });
      process.runPending();
    }
  }

  /** Cuts the direct paths to all upstreams until a time; callers and nodes are still reached. */
  void losePaths(NodeFaultKind kind, long until) {
    paths.lose(kind, until);
    if (kind == NodeFaultKind.PATHS_RESET) {
      List.copyOf(activeJobs.values()).stream()
          .filter(job -> job.path == UpstreamPath.DIRECT)
          .forEach(this::resetConnection);
    }
  }

  private void resetConnection(Job job) {
    activeJobs.remove(job.attempt);
    model.afterUpstreamDelay(() -> model.cancel(job));
    failLater(job.attempt, 0, FailureCause.CONNECTION_LOST);
  }

  private void failLater(AttemptId attempt, long nanos, FailureCause cause) {
    process.after(nanos, () -> submit(new RelayEvent.Lost(now(), attempt, cause)));
  }

  private void refuseLater(AttemptId attempt, long nanos, RefusalCause cause) {
    process.after(nanos, () -> submit(new RelayEvent.Refused(now(), attempt, cause)));
  }

  /** Returns whether another node reaches the upstreams, so that it offers tunnels. */
  private boolean hasTunnel() {
    return model.nodes().stream()
        .anyMatch(n -> n != this && !n.hasEnded() && !n.paths.isLost(now()));
  }

  /** Handles a change of an upstream in the discovery list. */
  void upstreamChanged(RelayUpstream upstream) {
    process.run(
        () ->
            submit(
                new RelayEvent.UpstreamsChanged(
                    now(), ImmutableMap.of(upstream.name(), upstream), ImmutableSet.of())));
  }

  /** Ends the process, which breaks its connections to callers and upstreams. */
  void kill() {
    process.end();
    activeJobs.values().forEach(job -> model.afterUpstreamDelay(() -> model.cancel(job)));
    activeJobs.clear();
    streamingCallers.clear();
    answersInTransit.forEach(job -> job.settle(PrefillUse.CANCELLED));
    answersInTransit.clear();
    List.copyOf(callersById.values())
        .forEach(c -> model.afterUpstreamDelay(() -> c.onConnectionLost(true)));
    callersById.clear();
  }

  private void runPeriodic() {
    sharing.periodic();
    process.after(LoadSharing.PERIOD_NANOS, this::runPeriodic);
  }

  boolean hasEnded() {
    return process.hasEnded();
  }

  /** Returns the wasted prefill tokens that the reducer has reported. */
  long reportedWastedTokens() {
    return reportedWastedTokens;
  }

  /** Returns the number of calls without a final answer. */
  int callsInProgress() {
    return router.inProgress();
  }

  @Override
  public SimEngine engine(UpstreamName id) {
    return model.engine(id);
  }

  // Callers.

  /** Handles the arrival of a call. */
  void receiveCall(Caller caller) {
    if (process.hasEnded()) {
      model.afterUpstreamDelay(() -> caller.onConnectionLost(false));
    } else {
      process.run(() -> acceptCall(caller));
    }
  }

  private void acceptCall(Caller caller) {
    if (caller.hasEnded()) {
      return;
    }
    RequestId id = new RequestId(++callCount);
    callersById.put(id, caller);
    caller.onAccepted(id);
    FleetScenario.CallClass kind = caller.kind();
    submit(
        new RelayEvent.Arrived(
            now(),
            new RelayCall(
                id,
                caller.name(),
                FleetModel.HOST,
                FleetModel.path(kind),
                caller.remainingMillis(),
                caller.size(),
                new PromptKey(caller.name()),
                false,
                caller.identity(),
                Optional.empty())));
  }

  /** Handles a caller that closes its connection. */
  void onDisconnect(RequestId id) {
    process.run(
        () -> {
          if (callersById.remove(id) != null) {
            submit(new RelayEvent.CallerLeft(now(), id));
          }
        });
  }

  /** Schedules an action for the arrival of a message about an attempt. */
  private void afterDelay(Job job, Runnable action) {
    Optional<Long> healedAt =
        job.path == UpstreamPath.DIRECT ? paths.delayedUntil(now()) : Optional.empty();
    if (healedAt.isPresent()) {
      time.at(healedAt.get(), () -> process.run(action));
    } else {
      afterDelay(action);
    }
  }

  /** Schedules an action for the arrival of a message from an upstream. */
  private void afterDelay(Runnable action) {
    model.afterUpstreamDelay(() -> process.run(action));
  }

  // Upstreams.

  @Override
  public void reply(Job job, LongFunction<RelayEvent> event) {
    afterDelay(
        job,
        () -> {
          if (activeJobs.remove(job.attempt) != null) {
            submit(event.apply(now()));
          }
        });
  }

  @Override
  public void noticed(Job job, long sentAt, RateLimitNotice rate) {
    afterDelay(
        job,
        () -> {
          UpstreamIncarnation life = model.upstreams().get(job.upstream).incarnation();
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
    afterDelay(
        job,
        () -> {
          if (!activeJobs.containsKey(job.attempt)) {
            return;
          }
          if (first) {
            submit(new RelayEvent.Began(now(), job.attempt));
          }
          Caller caller = streamingCallers.get(job.attempt);
          if (caller != null) {
            caller.sendEvent();
            submit(new RelayEvent.Progressed(now(), job.attempt, 1));
          }
        });
  }

  /** The prefilled tokens count as used only if the answer reaches the caller. */
  @Override
  public void complete(Job job, LongFunction<RelayEvent> event) {
    if (process.hasEnded()) {
      job.settle(PrefillUse.CANCELLED);
      return;
    }
    answersInTransit.add(job);
    afterDelay(
        job,
        () -> {
          answersInTransit.remove(job);
          if (activeJobs.remove(job.attempt) != null) {
            completing = job;
            submit(event.apply(now()));
            completing = null;
          }
          job.settle(PrefillUse.CANCELLED);
        });
  }

  // Environment of the reducer and of load sharing.

  @Override
  public void send(InetSocketAddress to, byte[] message) {
    model.sendDatagram(this, to, message);
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
    eventQueue.add(event);
    if (isApplying) {
      return;
    }
    isApplying = true;
    for (RelayEvent next = eventQueue.poll(); next != null; next = eventQueue.poll()) {
      router.apply(next, this::execute);
    }
    isApplying = false;
    sharing.update(router.loads(), router.losingHandles(now()), router.reservationRequests(now()));
    scheduleTick();
  }

  private void scheduleTick() {
    long due = router.nextDue();
    if (due >= tickAt) {
      return;
    }
    if (tickTimer != null) {
      tickTimer.cancel();
    }
    tickAt = due;
    tickTimer =
        process.at(
            due,
            () -> {
              tickTimer = null;
              tickAt = Long.MAX_VALUE;
              submit(new RelayEvent.Ticked(now()));
            });
  }

  private void execute(RelayEffect effect) {
    switch (effect) {
      case RelayEffect.Send e -> startAttempt(e);
      case RelayEffect.Cancel e -> cancel(e.attempt());
      case RelayEffect.Move e ->
          submit(new RelayEvent.Moved(now(), e.attempt(), new MoveResult.Failed()));
      case RelayEffect.Free e ->
          model.afterUpstreamDelay(() -> engine(e.source().name()).free(e.handle()));
      case RelayEffect.ForwardStream e -> forwardStream(e);
      case RelayEffect.Deliver e -> deliver(e);
      case RelayEffect.Refuse e ->
          endCall(e.call(), c -> c.receiveRefusal(e.kind(), e.retryAfterMillis()));
      case RelayEffect.Cut e -> endCall(e.call(), Caller::onStreamCut);
      case RelayEffect.ReservationAnswer e -> sharing.answer(e);
      case RelayEffect.Probe e -> probe(e);
      case RelayEffect.ReportSuspects e -> sharing.reportSuspects(e);
      case RelayEffect.StoreSuspects e -> {}
      case RelayEffect.OfStream e -> sharing.execute(e);
      case RelayEffect.RecordBuilds e ->
          submit(new RelayEvent.BuildsRecorded(now(), e.service(), e.builds()));
      case RelayEffect.ReadBuildHistory e ->
          submit(
              new RelayEvent.BuildHistoryRead(
                  now(), e.number(), Optional.empty(), ImmutableList.of()));
      case RelayEffect.ConfirmUpstreams e ->
          submit(new RelayEvent.UpstreamsConfirmed(now(), e.number()));
      case RelayEffect.ConfirmState e -> submit(new RelayEvent.StateConfirmed(now(), e.number()));
      case RelayEffect.Report e -> {
        if (e.fact() instanceof RelayFact.PromptWasted w) {
          reportedWastedTokens += w.tokens();
        }
      }
    }
  }

  private void startAttempt(RelayEffect.Send e) {
    Caller caller = callersById.get(e.call());
    if (caller == null) {
      return;
    }
    if (!reachesUpstream(e)) {
      return;
    }
    Job job =
        new Job(
            this,
            e.attempt(),
            e.upstream().name(),
            e.path(),
            e.purpose(),
            caller.prompt(),
            caller.output(),
            caller.kind().crashing() > 0);
    activeJobs.put(e.attempt(), job);
    model.afterUpstreamDelay(
        () -> {
          if (activeJobs.containsKey(e.attempt())) {
            model.submit(job);
          }
        });
  }

  /** Returns whether an attempt reaches its upstream; else schedules its failure. */
  private boolean reachesUpstream(RelayEffect.Send e) {
    if (e.path() == UpstreamPath.TUNNEL && !hasTunnel()) {
      refuseLater(e.attempt(), 0, RefusalCause.CONNECT_TIMED_OUT);
      return false;
    }
    SimPaths.Outcome outcome = paths.send(now(), e.upstream().name(), e.path());
    switch (outcome) {
      case ARRIVES, VANISHES -> {}
      case IS_RESET -> failLater(e.attempt(), RESET_NANOS, FailureCause.CONNECTION_LOST);
      case IS_REFUSED -> refuseLater(e.attempt(), RESET_NANOS, RefusalCause.CONNECT_REFUSED);
      case TIMES_OUT ->
          refuseLater(e.attempt(), CONNECT_TIMEOUT_NANOS, RefusalCause.CONNECT_TIMED_OUT);
      default -> throw new IllegalStateException("unknown outcome: " + outcome);
    }
    return outcome == SimPaths.Outcome.ARRIVES;
  }

  private void probe(RelayEffect.Probe e) {
    boolean isDirect = e.path() == UpstreamPath.DIRECT;
    if (isDirect ? paths.isLost(now()) : !hasTunnel()) {
      boolean hangs = isDirect && paths.connect(now()) == SimPaths.Outcome.TIMES_OUT;
      ProbeResult result = isDirect && !hangs ? ProbeResult.REFUSES : ProbeResult.SILENT;
      process.after(hangs ? PROBE_TIMEOUT_NANOS : RESET_NANOS, () -> submit(probed(e, result)));
      return;
    }
    afterDelay(() -> submit(probed(e, model.probe(e.upstream().name()))));
  }

  private RelayEvent probed(RelayEffect.Probe e, ProbeResult result) {
    return new RelayEvent.Probed(now(), e.upstream().incarnation(), e.path(), result);
  }

  private void cancel(AttemptId attempt) {
    Job job = activeJobs.remove(attempt);
    streamingCallers.remove(attempt);
    if (job != null) {
      model.afterUpstreamDelay(() -> model.cancel(job));
    }
  }

  private void forwardStream(RelayEffect.ForwardStream e) {
    Caller caller = callersById.get(e.call());
    if (caller != null) {
      streamingCallers.put(e.attempt(), caller);
    }
  }

  private void deliver(RelayEffect.Deliver e) {
    streamingCallers.remove(e.attempt());
    if (completing != null && completing.attempt.equals(e.attempt())) {
      completing.settle(PrefillUse.USED);
    }
    endCall(e.call(), Caller::receiveAnswer);
  }

  private void endCall(RequestId id, Consumer<Caller> action) {
    Caller caller = callersById.remove(id);
    if (caller != null) {
      model.afterUpstreamDelay(() -> action.accept(caller));
    }
  }
}
