/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.larkkeel.config.Configuration;
import org.larkkeel.daemon.settings.LimitSettings;
import org.larkkeel.daemon.settings.ListenerSettings;
import org.larkkeel.daemon.settings.Settings;
import org.larkkeel.effect.Effect;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.event.ClaimOutcome;
import org.larkkeel.event.Event;
import org.larkkeel.event.RecordOutcome;
import org.larkkeel.http.HttpWorker;
import org.larkkeel.http.Problem;
import org.larkkeel.http.caller.CallerListener;
import org.larkkeel.http.caller.CallerServices;
import org.larkkeel.http.caller.CallerSettings;
import org.larkkeel.http.request.EffectExecutor;
import org.larkkeel.http.request.RequestTable;
import org.larkkeel.http.upstream.EngineRequestId;
import org.larkkeel.http.upstream.UpstreamClient;
import org.larkkeel.http.upstream.UpstreamClientSettings;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.lib.Revision;
import org.larkkeel.peer.ConfigContent;
import org.larkkeel.peer.PeerNode;
import org.larkkeel.peer.PeerSettings;
import org.larkkeel.peer.membership.HostEntry;
import org.larkkeel.peer.membership.NodeAddress;
import org.larkkeel.peer.membership.NodeId;
import org.larkkeel.platform.BudgetedObjectApi;
import org.larkkeel.platform.CallBudget;
import org.larkkeel.platform.ExecutorScheduler;
import org.larkkeel.platform.HostList;
import org.larkkeel.platform.HostPhase;
import org.larkkeel.platform.HttpClientOptions;
import org.larkkeel.platform.HttpObjectApi;
import org.larkkeel.platform.ObjectApi;
import org.larkkeel.router.Router;
import org.larkkeel.router.RouterStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One node: the router with all its adapters.
 *
 * <p>Several may run in one process. Safe for use by several threads.
 *
 * @since 0.1
 */
public final class Daemon implements AutoCloseable {
  private static final Logger log = LoggerFactory.getLogger(Daemon.class);
  private static final Duration DRAIN_GRACE = Duration.ofMillis(500);
  private static final long RETRY_AFTER_MILLIS = 1_000;

  private final LongSupplier clock = System::nanoTime;
  private final Settings settings;
  private final Closer closer;
  private final EngineRequestId.Origin origin;
  private final RequestTable table = new RequestTable();
  private final NodeConfiguration configuration = new NodeConfiguration(this::publish, clock);
  private final PeerAdapter peerAdapter;
  private final Readiness readiness;
  private final ExecutorScheduler scheduler;
  private final Router router;
  private final ReducerLoop loop;
  private final PeerNode peers;
  private final CallerListener callers;
  private final Drain drain;

  private Daemon(Settings settings, Closer closer) throws IOException {
    this.settings = settings;
    this.closer = closer;
    Incarnation incarnation =
        settings.incarnation().orElseGet(() -> new Incarnation(System.currentTimeMillis()));
    String name = settings.host().value();
    final long seed = incarnation.value() ^ name.hashCode();
    origin = new EngineRequestId.Origin(settings.host(), incarnation);
    scheduler = closer.add(new ExecutorScheduler(name + "-platform"));
    HttpWorker worker = closer.add(new HttpWorker(settings.limits().ioThreads()));
    final UpstreamClient client =
        closer.add(new UpstreamClient(worker, UpstreamClientSettings.DEFAULT, clock));
    peerAdapter = new PeerAdapter(settings.host(), this::publish, clock);
    readiness =
        new Readiness(
            () -> configuration.revision().isAfter(Revision.NONE),
            peerAdapter::hasPeers,
            clock,
            settings.limits().cutOff().toNanos());
    router = new Router(settings.router(), seed);
    Timers timers = closer.add(new Timers(name + "-timers", this::publish, clock));
    EffectExecutor executor =
        new EffectExecutor(origin, table, client, configuration, this::publish, clock);
    EffectDispatcher dispatcher =
        new EffectDispatcher(ports(executor, timers), this::publish, clock);
    loop =
        closer.add(
            new ReducerLoop(
                name + "-reducer",
                settings.limits().queuedEvents(),
                router::apply,
                dispatcher,
                this::refuse));
    loop.start();
    ObjectApi store = store(worker, new SplittableRandom(seed));
    peers = closer.add(PeerNode.start(peerSettings(incarnation, seed), peerAdapter, this::page));
    HostList hosts =
        closer.add(new HostList(store, scheduler, new SplittableRandom(seed + 1), this::hosts));
    hosts.start();
    drain = new Drain(scheduler, drainSteps(), DRAIN_GRACE, settings.limits().drain());
    callers = closer.add(CallerListener.start(callerSettings(), worker, callerServices()));
    log.info(
        "event=started host={} incarnation={} caller={} peer={}",
        name,
        incarnation,
        callers.address(),
        peers.address());
  }

  /**
   * Starts a node.
   *
   * @param settings the settings
   * @return the node, which becomes ready with its first configuration
   * @throws IOException if an address can not be bound
   */
  public static Daemon start(Settings settings) throws IOException {
    Closer closer = new Closer();
    try {
      return new Daemon(settings, closer);
    } catch (IOException | RuntimeException e) {
      closeAfter(closer, e);
      throw e;
    }
  }

  private static void closeAfter(Closer closer, Exception failure) {
    try {
      closer.close();
    } catch (Exception e) {
      failure.addSuppressed(e);
    }
  }

  private void publish(Event event) {
    loop.publish(event);
  }

  private EffectPorts ports(EffectExecutor executor, Timers timers) {
    return new EffectPorts(
        executor::execute,
        executor::execute,
        this::runsUnavailable,
        effect -> {},
        timers,
        effect -> FactLog.write(((Effect.Report) effect).fact()));
  }

  private void runsUnavailable(Effect effect) {
    long now = clock.getAsLong();
    switch (effect) {
      case Effect.ClaimRun claim ->
          publish(new Event.ClaimSettled(now, claim.attempt(), ClaimOutcome.UNAVAILABLE));
      case Effect.RecordRun run ->
          publish(new Event.RecordSettled(now, run.attempt(), RecordOutcome.FAILED));
      default -> throw new IllegalArgumentException("not an effect of the run log: " + effect);
    }
  }

  private void refuse(Event.RequestArrived arrived) {
    table
        .remove(arrived.call().id())
        .ifPresent(
            r ->
                r.refuse(
                    new Problem(
                        ErrorKind.OVERLOADED,
                        "Too many events wait in this node.",
                        r.wireId(),
                        RETRY_AFTER_MILLIS)));
  }

  private ObjectApi store(HttpWorker worker, SplittableRandom random) {
    HttpClientOptions options =
        HttpClientOptions.of(settings.platform().url())
            .withTimeout(settings.platform().timeout())
            .withToken(new TokenFile(settings.platform().token()));
    HttpObjectApi http = closer.add(new HttpObjectApi(options, worker.worker(), scheduler));
    CallBudget usual = CallBudget.DEFAULT;
    CallBudget budget =
        new CallBudget(
            settings.platform().readsPerSecond(),
            settings.platform().writesPerSecond(),
            usual.burst(),
            usual.longestWait(),
            usual.firstProbe(),
            usual.longestProbe());
    ObservedObjectApi observed = new ObservedObjectApi(http, readiness);
    return new BudgetedObjectApi(observed, budget, scheduler, random);
  }

  private PeerSettings peerSettings(Incarnation incarnation, long seed) throws IOException {
    NodeId id = new NodeId(settings.host(), incarnation);
    ListenerSettings listener = settings.peer();
    PeerSettings result =
        new PeerSettings(id, settings.dataCentre(), listener.address()).setSeed(seed);
    listener.tls().ifPresent(files -> result.setSslContext(PemTls.context(files)));
    if (settings.peerSecret().isPresent()) {
      result.setKeys(List.of(PeerSecret.read(settings.peerSecret().get())));
    }
    return result;
  }

  private ConfigContent page(Revision from) {
    return new ConfigContent(from, new byte[0], false);
  }

  private void hosts(List<org.larkkeel.platform.HostEntry> list) {
    peers.updateHosts(
        list.stream()
            .map(
                h ->
                    new HostEntry(
                        h.name(), NodeAddress.parse(h.address()), h.phase() == HostPhase.LEAVING))
            .toList());
  }

  private CallerSettings callerSettings() {
    LimitSettings limits = settings.limits();
    CallerSettings result =
        CallerSettings.on(settings.caller().address())
            .withSizes(limits.maxBodyBytes(), limits.maxBodiesBytes(), limits.maxPendingBytes())
            .withTimeouts(
                (int) limits.header().toMillis(),
                (int) limits.body().toMillis(),
                (int) limits.idle().toMillis(),
                (int) limits.stall().toMillis());
    return settings
        .caller()
        .tls()
        .map(files -> result.withTls(() -> PemTls.context(files)))
        .orElse(result);
  }

  private CallerServices callerServices() {
    return new CallerServices(
        origin,
        table,
        this::publish,
        configuration::workspaces,
        readiness::isReady,
        () -> "",
        clock,
        InstantSource.system());
  }

  private Drain.Steps drainSteps() {
    return new Drain.Steps(
        () -> {
          readiness.drain();
          peers.leave();
        },
        () -> publish(new Event.StopRequested(clock.getAsLong())),
        () -> table.size() == 0);
  }

  /**
   * Brings a configuration into force, unless that in force is as new.
   *
   * @param accepted an accepted configuration
   * @return true if it is in force now
   */
  public boolean accept(Configuration accepted) {
    return configuration.accept(accepted);
  }

  /**
   * Where callers reach the node.
   *
   * @return IP number and port
   */
  public InetSocketAddress callerAddress() {
    return callers.address();
  }

  /**
   * Where peers reach the node.
   *
   * @return IP number and port
   */
  public NodeAddress peerAddress() {
    return peers.address();
  }

  /**
   * Tells whether the node takes requests.
   *
   * @return true if it is ready
   */
  public boolean isReady() {
    return readiness.isReady();
  }

  /**
   * The state of the router.
   *
   * @return the state between two events
   */
  public CompletableFuture<RouterStatus> routerStatus() {
    return loop.query(router::status);
  }

  /**
   * Begins the graceful stop; repeating the call has no further effect. The node has to be closed
   * after it.
   *
   * @return done when nothing is in progress
   */
  public CompletableFuture<Void> drain() {
    return drain.begin();
  }

  /** Ends a drain at once. */
  public void hurry() {
    drain.hurry();
  }

  /**
   * Closes everything; requests in progress are cut, so drain before.
   *
   * @throws Exception the first failure of a part
   */
  @Override
  public void close() throws Exception {
    closer.close();
    log.info("event=stopped host={}", settings.host());
  }
}
