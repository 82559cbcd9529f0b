/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.proof.world;

import java.util.HashMap;
import java.util.Map;
import org.larkkeel.call.Call;
import org.larkkeel.effect.Effect;
import org.larkkeel.effect.Fact;
import org.larkkeel.event.ClaimOutcome;
import org.larkkeel.event.Event;
import org.larkkeel.event.Exposure;
import org.larkkeel.event.FailureCause;
import org.larkkeel.event.LimitShare;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.lib.RequestId;
import org.larkkeel.router.Router;
import org.larkkeel.router.RouterSettings;

/**
 * One incarnation of a node: the real router, run log, configuration log and membership, with
 * adapters to the fakes.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
final class Node {
  private static final long SWEEP_INTERVAL_NANOS = VirtualTime.SECOND;
  private static final long GRANT_NANOS = 2 * VirtualTime.SECOND;
  private static final long DRAIN_CHECK_INTERVAL_NANOS = 20 * VirtualTime.MILLI;
  private static final long EXIT_DELAY_NANOS = 50 * VirtualTime.MILLI;
  private static final double SHARE = 3_000;
  private static final int CONCURRENCY = 14;

  final int number;
  final HostName host;
  final Incarnation incarnation;
  final VirtualTime.Process process;
  private final World world;
  private final Router router;
  private final NodePeers peers;
  private final NodeConfig config;
  private final NodeRuns runs;
  private final NodeAttempts attempts;
  private final Map<RequestId, Connection> connections = new HashMap<>();
  private boolean stopping;

  Node(World world, int number, HostName host, long incarnation) {
    this.world = world;
    this.number = number;
    this.host = host;
    this.incarnation = new Incarnation(incarnation);
    this.process = world.time().newProcess();
    long seed = world.seed() + 31L * number;
    RouterSettings settings = RouterSettings.builder().sharedSlots(true).build();
    this.router = new Router(settings, seed);
    this.peers = new NodePeers(world, this, seed + 1);
    this.config = new NodeConfig(world, this, seed + 2);
    this.runs = new NodeRuns(world, this, seed + 3);
    this.attempts = new NodeAttempts(world, this);
  }

  void start() {
    peers.start();
    config.start();
    runs.ownersChanged();
    sweep();
  }

  NodePeers peers() {
    return peers;
  }

  NodeConfig config() {
    return config;
  }

  NodeRuns runs() {
    return runs;
  }

  /** Returns whether the load balancer sends requests to this node. */
  boolean isReady() {
    return !process.isDead() && !stopping && config.lastEntryNumber() > 0;
  }

  Connection connection(RequestId request) {
    return connections.get(request);
  }

  /** Receives a request of a caller. */
  void receive(Call call, CallerRecord caller) {
    connections.put(call.id(), new Connection(call, caller));
    apply(new Event.RequestArrived(world.time().now(), call));
  }

  void callerGone(RequestId request) {
    if (connections.containsKey(request)) {
      apply(new Event.CallerGone(world.time().now(), request));
    }
  }

  /** Starts a planned stop: the node refuses new requests, finishes those in progress and exits. */
  void stop() {
    if (stopping || process.isDead()) {
      return;
    }
    stopping = true;
    world.observations().incarnation(number).stopAt = world.time().now();
    connections.values().forEach(c -> c.caller().nodeStopped = true);
    peers.leave();
    apply(new Event.StopRequested(world.time().now()));
    drain();
  }

  /** Kills the process and breaks the connections of its callers. */
  void kill() {
    if (process.isDead()) {
      return;
    }
    process.kill();
    connections.values().forEach(c -> world.platform().execute(() -> failConnection(c)));
    connections.clear();
    world.onNodeDeath(this);
  }

  void apply(Event event) {
    if (process.isDead()) {
      return;
    }
    RequestId request = requestOf(event);
    world.reachStep(event, Moment.BEFORE, this, request);
    if (process.isDead()) {
      return;
    }
    router.apply(event, this::perform);
    world.reachStep(event, Moment.AFTER_EFFECT, this, request);
  }

  private void drain() {
    if (connections.isEmpty() && attempts.isIdle()) {
      peers.stop();
      process.after(EXIT_DELAY_NANOS, this::kill);
    } else {
      process.after(DRAIN_CHECK_INTERVAL_NANOS, this::drain);
    }
  }

  private void failConnection(Connection connection) {
    CallerRecord caller = connection.caller();
    if (caller.isOpen()) {
      caller.addEnd(CallerRecord.Ending.BROKEN, null, world.time().now());
    }
  }

  private void perform(Effect effect) {
    RequestId request = requestOf(effect);
    world.reachStep(effect, Moment.BEFORE, this, request);
    if (process.isDead()) {
      return;
    }
    switch (effect) {
      case Effect.StartPrefill start -> attempts.prefill(start);
      case Effect.StartTransfer start -> attempts.transfer(start);
      case Effect.StartDecode start -> attempts.decode(start);
      case Effect.SendPlain send -> attempts.plain(send);
      case Effect.Cancel cancel -> attempts.cancel(cancel);
      case Effect.ClaimRun claim -> claim(claim);
      case Effect.RecordRun run -> record(run);
      case Effect.Complete done -> complete(done);
      case Effect.Replay replay -> replay(replay);
      case Effect.Refuse refuse -> refuse(refuse);
      case Effect.Forget forget -> connections.remove(forget.request());
      case Effect.WantSlots want -> grantSlots(want);
      case Effect.WantLimit want -> grantLimit(want);
      case Effect.Wake wake ->
          process.at(wake.at(), () -> apply(new Event.Ticked(world.time().now())));
      case Effect.Report report -> report(report.fact());
    }
  }

  private void claim(Effect.ClaimRun effect) {
    runs.claim(
        effect,
        claim -> {
          Connection connection = connections.get(effect.request());
          if (connection != null) {
            connection.setRecordedAnswer(claim.answer().orElse(null));
          }
          apply(
              claim
                  .outcome()
                  .<Event>map(outcome -> claimSettled(effect.attempt(), outcome))
                  .orElseGet(() -> claimTimedOut(effect.attempt())));
          world.reachStep(effect, Moment.AFTER_ANSWER, this, effect.request());
        });
  }

  private Event claimSettled(AttemptId attempt, ClaimOutcome outcome) {
    return new Event.ClaimSettled(world.time().now(), attempt, outcome);
  }

  private Event claimTimedOut(AttemptId attempt) {
    return new Event.AttemptFailed(
        world.time().now(), attempt, FailureCause.TIMED_OUT, Exposure.MAY_HAVE_RUN, 0);
  }

  private void record(Effect.RecordRun effect) {
    String answer = effect.key().key().value();
    runs.record(
        effect,
        answer,
        outcome -> {
          apply(new Event.RecordSettled(world.time().now(), effect.attempt(), outcome));
          world.reachStep(effect, Moment.AFTER_ANSWER, this, effect.request());
        });
  }

  private void complete(Effect.Complete done) {
    Connection connection = connections.remove(done.request());
    if (connection != null) {
      connection.complete(done.attempt(), world.time().now());
    }
  }

  private void replay(Effect.Replay replay) {
    Connection connection = connections.remove(replay.request());
    if (connection != null) {
      connection.replay(world.time().now());
    }
  }

  private void refuse(Effect.Refuse refuse) {
    Connection connection = connections.remove(refuse.request());
    if (connection != null) {
      connection.refuse(refuse.kind(), world.time().now());
    }
  }

  private void grantSlots(Effect.WantSlots want) {
    int slots = Math.max(1, Configurations.SLOTS / World.NODES);
    world
        .peerFaults()
        .send(
            process,
            () -> {
              long now = world.time().now();
              apply(new Event.SlotsGranted(now, want.upstream(), slots, now + GRANT_NANOS));
            });
  }

  private void grantLimit(Effect.WantLimit want) {
    LimitShare share = new LimitShare(SHARE, SHARE * SHARE, CONCURRENCY);
    world
        .peerFaults()
        .send(
            process,
            () -> {
              long now = world.time().now();
              apply(new Event.LimitGranted(now, want.workspace(), share, now + GRANT_NANOS));
            });
  }

  private void report(Fact fact) {
    if (fact instanceof Fact.InForce inForce) {
      world
          .observations()
          .addInForce(
              new Observations.InForce(number, host, inForce.revision(), world.time().now()));
    }
  }

  /** Cancels the attempts that engines hold for dead node incarnations, and repeats this. */
  private void sweep() {
    world.engines().forEach(this::sweep);
    process.after(SWEEP_INTERVAL_NANOS, this::sweep);
  }

  private void sweep(Engine engine) {
    if (!engine.isAvailable()) {
      return;
    }
    engine.heldAttempts().stream().filter(id -> peers.isDead(id.origin())).forEach(engine::cancel);
  }

  private RequestId requestOf(Event event) {
    return switch (event) {
      case Event.RequestArrived arrived -> arrived.call().id();
      case Event.CallerGone gone -> gone.request();
      case Event.OfAttempt of -> attempts.requestOf(of.attempt());
      default -> null;
    };
  }

  private RequestId requestOf(Effect effect) {
    return switch (effect) {
      case Effect.OfAttempt of -> {
        attempts.register(of.attempt(), of.request());
        yield of.request();
      }
      case Effect.Complete done -> done.request();
      case Effect.Replay replay -> replay.request();
      case Effect.Refuse refuse -> refuse.request();
      case Effect.Forget forget -> forget.request();
      default -> null;
    };
  }
}
