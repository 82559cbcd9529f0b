/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.larkkeel.config.Configuration;
import org.larkkeel.daemon.settings.LimitSettings;
import org.larkkeel.daemon.settings.Settings;
import org.larkkeel.effect.Effect;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.event.Event;
import org.larkkeel.http.HttpWorker;
import org.larkkeel.http.Problem;
import org.larkkeel.http.caller.CallerListener;
import org.larkkeel.http.caller.CallerServices;
import org.larkkeel.http.caller.CallerSettings;
import org.larkkeel.http.metrics.FactMeters;
import org.larkkeel.http.operator.OperatorService;
import org.larkkeel.http.request.RequestTable;
import org.larkkeel.http.upstream.EngineRequestId;
import org.larkkeel.lib.Closer;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.lib.Revision;
import org.larkkeel.peer.PeerNode;
import org.larkkeel.peer.SlotLease;
import org.larkkeel.peer.membership.Member;
import org.larkkeel.peer.membership.NodeAddress;
import org.larkkeel.router.Router;
import org.larkkeel.router.RouterStatus;
import org.larkkeel.store.ExecutorScheduler;
import org.larkkeel.store.log.WriterId;
import org.larkkeel.store.order.OrderLimits;
import org.larkkeel.time.BootClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A node: the router with its listeners, its clients and its connections to peers and the store.
 *
 * <p>Several nodes may run in one process. Safe for use by several threads.
 *
 * @since 0.1
 */
public final class Daemon implements AutoCloseable {
  private static final Logger log = LoggerFactory.getLogger(Daemon.class);
  private static final long RETRY_AFTER_MILLIS = 1_000;

  private final LongSupplier clock = BootClock.SYSTEM::nanoTime;
  private final Settings settings;
  private final Closer closer;
  private final EngineRequestId.Origin origin;
  private final RequestTable requestTable = new RequestTable();
  private final NodeConfiguration configuration = new NodeConfiguration(this::publish, clock);
  private final PrometheusMeterRegistry meters =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final FactMeters factMeters = new FactMeters(meters);
  private final PeerAdapter peerAdapter;
  private final SlotGrants slotGrants = new SlotGrants(newLeaseClient(), this::publish, clock);
  private final Readiness readiness;
  private final ExecutorScheduler scheduler;
  private final HttpWorker worker;
  private final UpstreamModule upstreamModule;
  private final StoreModule storeModule;
  private final ConfigLog configLog;
  private final OrphanSweeper orphanSweeper;
  private final OrderModule orderModule;
  private final Router router;
  private final ReducerLoop loop;
  private final PeerNode peers;
  private final Drain drain;
  private final CallerListener callerListener;
  private final NodeOperations operations;
  private final OperatorListener operatorListener;

  private Daemon(Settings settings, Closer closer) throws IOException {
    this.settings = settings;
    this.closer = closer;
    Incarnation incarnation =
        settings.incarnation().orElseGet(() -> new Incarnation(System.currentTimeMillis()));
    final long seed = incarnation.value() ^ settings.host().hashCode();
    origin = new EngineRequestId.Origin(settings.host(), incarnation);
    scheduler = closer.add(new ExecutorScheduler(threadName("scheduler")));
    worker = closer.add(new HttpWorker(settings.limits().ioThreads()));
    peerAdapter = new PeerAdapter(origin, this::publish, clock);
    readiness = readiness();
    upstreamModule = closer.add(newUpstreamModule(seed));
    storeModule = closer.add(newStoreModule(seed));
    configLog = new ConfigLog(storeModule.configurations(), configuration, scheduler);
    router = new Router(settings.router(), seed);
    loop = closer.add(newReducerLoop());
    loop.start();
    peers =
        closer.add(
            PeerNode.start(
                PeerConversions.peerSettings(settings, incarnation, seed)
                    .setRuns(storeModule.runs()),
                peerAdapter,
                configLog));
    orphanSweeper = closer.add(orphanSweeper());
    orderModule = closer.add(newOrderModule(seed));
    registerListeners();
    drain = new Drain(scheduler, newDrainSteps(), settings.limits());
    operations = newOperations(incarnation);
    operatorListener = closer.add(OperatorListener.start(settings, worker, operations));
    callerListener = closer.add(CallerListener.start(callerSettings(), worker, callerServices()));
    startTlsReloads();
    orphanSweeper.start();
    orderModule.start();
    storeModule.start(peers);
    log.info(
        "event=started host={} incarnation={} caller={} operator={} peer={}",
        settings.host(),
        incarnation,
        callerListener.address(),
        operatorListener.address(),
        peers.address());
  }

  /**
   * Starts a node.
   *
   * @param settings the settings
   * @return the node; it is ready once its first configuration is in force
   * @throws IOException if a listener cannot bind its address
   */
  public static Daemon start(Settings settings) throws IOException {
    Closer closer = new Closer();
    try {
      return new Daemon(settings, closer);
    } catch (IOException | RuntimeException e) {
      closeOnFailure(closer, e);
      throw e;
    }
  }

  private static void closeOnFailure(Closer closer, Exception failure) {
    try {
      closer.close();
    } catch (Exception e) {
      failure.addSuppressed(e);
    }
  }

  private String threadName(String part) {
    return settings.host() + "-" + part;
  }

  private void publish(Event event) {
    loop.publish(event);
  }

  private Readiness readiness() {
    return new Readiness(
        () -> configuration.revision().isAfter(Revision.NONE),
        peerAdapter::hasPeers,
        clock,
        settings.limits().cutOff().toNanos());
  }

  private UpstreamModule newUpstreamModule(long seed) {
    UpstreamModule.Dependencies dependencies =
        new UpstreamModule.Dependencies(
            origin, requestTable, configuration, worker, scheduler, this::onUpstreamEvent, clock);
    return new UpstreamModule(dependencies, settings.limits(), seed);
  }

  private void onUpstreamEvent(Event event) {
    if (event instanceof Event.LoadReported reported) {
      slotGrants.updateCapacity(reported.upstream(), reported.report());
    }
    publish(event);
  }

  private SlotGrants.LeaseClient newLeaseClient() {
    return new SlotGrants.LeaseClient() {
      @Override
      public CompletableFuture<SlotLease> acquire(String key, int priority, Duration timeout) {
        return peers.acquireSlot(key, priority, timeout);
      }

      @Override
      public void release(SlotLease lease) {
        peers.releaseSlot(lease);
      }

      @Override
      public void updateCapacity(String key, int count, int running) {
        peers.updateCapacity(key, count, running);
      }
    };
  }

  private ReducerLoop newReducerLoop() {
    Timers timers = closer.add(new Timers(threadName("timers"), this::publish, clock));
    EffectPorts ports =
        new EffectPorts(
            upstreamModule.executor()::execute,
            upstreamModule.executor()::execute,
            newRunAdapter(),
            slotGrants,
            timers,
            this::report);
    return new ReducerLoop(
        threadName("reducer"),
        settings.limits().queuedEvents(),
        router::apply,
        new EffectDispatcher(ports, this::publish, clock),
        this::refuseOverflow);
  }

  private void report(Effect effect) {
    if (effect instanceof Effect.Report report) {
      factMeters.record(report.fact());
      FactLog.write(report.fact());
    }
  }

  private RunAdapter newRunAdapter() {
    return new RunAdapter(
        storeModule.runs(), requestTable, writerId(), scheduler, this::publish, clock);
  }

  private WriterId writerId() {
    return new WriterId(origin.host(), origin.incarnation());
  }

  private void refuseOverflow(Event.RequestArrived arrived) {
    requestTable
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

  private OrphanSweeper orphanSweeper() {
    return new OrphanSweeper(
        upstreamModule.sweep(),
        configuration,
        name -> peers.owns(name.value()),
        peerAdapter::isDead,
        scheduler);
  }

  private OrderModule newOrderModule(long seed) {
    OrderModule.Dependencies dependencies =
        new OrderModule.Dependencies(
            writerId(),
            storeModule.api(),
            scheduler,
            upstreamModule.engines(),
            storeModule.weights(),
            configuration::current,
            peerAdapter::live,
            meters);
    return new OrderModule(dependencies, OrderLimits.DEFAULT, seed);
  }

  /** Registers the listeners between components that depend on each other in both directions. */
  private void registerListeners() {
    configuration.setListener(this::onConfigurationAccepted);
    peerAdapter.setListener(
        new PeerAdapter.PeerChangeListener() {
          @Override
          public void incarnationEnded(EngineRequestId.Origin ended) {
            orphanSweeper.nodeEnded();
          }

          @Override
          public void newerRevision(Member peer, Revision revision) {
            configLog.schedulePull(peers, peer, revision);
          }

          @Override
          public void superseded() {
            var unused = drain();
          }
        });
  }

  private void onConfigurationAccepted(Configuration accepted) {
    upstreamModule.setConfiguration(accepted);
    peers.advertise(accepted.revision());
  }

  private StoreModule newStoreModule(long seed) {
    StoreModule.Dependencies dependencies =
        new StoreModule.Dependencies(
            writerId(),
            worker,
            scheduler,
            readiness,
            settings.limits().cutOff(),
            list -> peers.updateHosts(PeerConversions.hostEntries(list)),
            configuration::accept,
            id -> !peerAdapter.isDead(new EngineRequestId.Origin(id.host(), id.incarnation())));
    return new StoreModule(dependencies, settings.platform(), seed);
  }

  private Drain.Steps newDrainSteps() {
    return new Drain.Steps(
        () -> {
          readiness.drain();
          orderModule.release();
          peers.leave();
        },
        () -> publish(new Event.StopRequested(clock.getAsLong())),
        () -> requestTable.size() == 0);
  }

  private NodeOperations newOperations(Incarnation incarnation) {
    return new NodeOperations(
        new NodeOperations.Dependencies(
            settings,
            incarnation,
            router,
            loop,
            configuration,
            readiness,
            peerAdapter,
            peers::view,
            configLog,
            drain::begin));
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
        requestTable,
        this::publish,
        configuration::workspaces,
        readiness::isReady,
        meters::scrape,
        clock,
        InstantSource.system());
  }

  private void startTlsReloads() {
    settings
        .caller()
        .tls()
        .ifPresent(f -> closer.add(newTlsReload(f, callerListener::reloadTls)).start());
    settings
        .operator()
        .tls()
        .ifPresent(f -> closer.add(newTlsReload(f, operatorListener::reloadTls)).start());
  }

  private TlsReload newTlsReload(org.larkkeel.daemon.settings.TlsFiles files, Runnable reload) {
    return new TlsReload(files, reload, scheduler, settings.limits().reload());
  }

  /**
   * Brings a configuration into force, unless the one in force has the same or a later revision.
   *
   * @param accepted an accepted configuration
   * @return true if it was brought into force
   */
  public boolean accept(Configuration accepted) {
    return configuration.accept(accepted);
  }

  /**
   * Returns the address of the caller listener.
   *
   * @return IP number and port
   */
  public InetSocketAddress callerAddress() {
    return callerListener.address();
  }

  /**
   * Returns the address of the operator listener.
   *
   * @return IP number and port
   */
  public InetSocketAddress operatorAddress() {
    return operatorListener.address();
  }

  /**
   * Returns the address of the peer listener.
   *
   * @return IP number and port
   */
  public NodeAddress peerAddress() {
    return peers.address();
  }

  /**
   * Returns whether the node accepts requests.
   *
   * @return true if it is ready
   */
  public boolean isReady() {
    return readiness.isReady();
  }

  /**
   * Returns the number of nodes that this node considers live.
   *
   * @return the number, this node included
   */
  public int liveNodes() {
    return peerAdapter.live().size();
  }

  /**
   * Returns the operator service that the operator listener exposes.
   *
   * @return the service
   */
  public OperatorService operations() {
    return operations;
  }

  /**
   * Returns the state of the router.
   *
   * @return the state, read between two events
   */
  public CompletableFuture<RouterStatus> routerStatus() {
    return loop.query(router::status);
  }

  /**
   * Starts to drain the node; repeated calls have no further effect. The caller closes the node
   * afterwards.
   *
   * @return completes when the drain has ended, see {@link Drain}
   */
  public CompletableFuture<Void> drain() {
    return drain.begin();
  }

  /**
   * Returns a future of the end of the drain, whoever starts it.
   *
   * @return completes when the drain has ended; cancelling it does not affect the drain
   */
  public CompletableFuture<Void> whenDrained() {
    return drain.done();
  }

  /** Ends the drain immediately; requests in progress are cut off when the node is closed. */
  public void finishDrainNow() {
    drain.finishNow();
  }

  /**
   * Stops the node as a crash would: connections break, and peers and the store receive no notice.
   * For demos and failure tests.
   *
   * @throws Exception the first failure to close a component
   */
  public void kill() throws Exception {
    loop.abort();
    scheduler.close();
    peers.abort();
    close();
  }

  /**
   * Closes the node and cuts off requests in progress; call {@link #drain} first to avoid that.
   *
   * @throws Exception the first failure to close a component
   */
  @Override
  public void close() throws Exception {
    closer.close();
    log.info("event=stopped host={}", settings.host());
  }
}
