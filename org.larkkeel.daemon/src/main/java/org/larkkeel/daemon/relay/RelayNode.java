/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import com.google.common.collect.ImmutableSet;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.undertow.util.StatusCodes;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.larkkeel.http.HttpWorker;
import org.larkkeel.http.caller.CallerSettings;
import org.larkkeel.http.relay.OrderSender;
import org.larkkeel.http.relay.RelayClientSettings;
import org.larkkeel.http.relay.RelayDialect;
import org.larkkeel.http.relay.RelayExecutor;
import org.larkkeel.http.relay.RelayListener;
import org.larkkeel.http.relay.RelayLoop;
import org.larkkeel.http.tunnel.PeerTunnelOpener;
import org.larkkeel.http.tunnel.TunnelHandler;
import org.larkkeel.http.upstream.UpstreamClient;
import org.larkkeel.http.upstream.UpstreamClientSettings;
import org.larkkeel.lib.Closer;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RelayEvent;
import org.larkkeel.relay.RelayFact;
import org.larkkeel.relay.RelayRouter;
import org.larkkeel.relay.RelayUpstream;
import org.larkkeel.relay.Stage;
import org.larkkeel.store.ExecutorScheduler;
import org.larkkeel.store.HttpClientOptions;
import org.larkkeel.store.ObjectApi;
import org.larkkeel.store.Scheduler;
import org.larkkeel.time.BootClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioIoThread;

/**
 * A node that relays opaque requests.
 *
 * <p>One I/O thread serves the connections and the router; another thread follows the store.
 * Thread-safe.
 *
 * @since 0.1
 */
public final class RelayNode implements AutoCloseable {
  private static final Logger log = LoggerFactory.getLogger(RelayNode.class);
  private static final int IO_THREADS = 1;
  private static final int MAX_BODY_BYTES = 4 << 20;
  private static final long MAX_BODIES_BYTES = 16L << 20;
  private static final int MAX_PENDING_BYTES = 1 << 20;
  private static final int HEADER_MILLIS = 10_000;
  private static final int BODY_MILLIS = 20_000;
  private static final int IDLE_MILLIS = 120_000;
  private static final int STALL_MILLIS = 10_000;
  private static final UpstreamClientSettings CLIENT_SETTINGS =
      new UpstreamClientSettings(64, 4, 256, 4_000, 4 << 20, 256 << 10);

  /** The time between the end of draining and the end of the grace time. */
  private static final Duration EXIT_MARGIN = Duration.ofMillis(600);

  private static final Duration DRAIN_CHECK_PERIOD = Duration.ofMillis(50);

  private final RelayNodeSettings settings;
  private final Closer closer;
  private final Scheduler scheduler;
  private final RelayRouter router;
  private final RelayListener listener;
  private final CompletableFuture<Void> drained = new CompletableFuture<>();
  private final LoadExchange loadExchange;
  private final RelayLoop loop;
  private final RelayExecutor executor;
  private final XnioIoThread thread;
  private final NodeRegistry registry;
  private final TunnelHandler tunnels;
  private final StatusListener status;
  private final RelayMeters meters;
  private volatile boolean ready;
  private volatile int inProgress;
  private volatile int upstreams;
  private volatile ImmutableSet<UpstreamIncarnation> indirectUpstreams = ImmutableSet.of();
  private volatile boolean draining;

  private RelayNode(RelayNodeSettings settings, RelayAdapter adapter, Closer closer) {
    this.settings = settings;
    this.closer = closer;
    ExecutorScheduler storeScheduler = closer.add(new ExecutorScheduler("larkkeel-store"));
    this.scheduler = storeScheduler;
    HttpWorker worker = closer.add(new HttpWorker(IO_THREADS));
    this.router = new RelayRouter(settings.router());
    this.thread = worker.worker().getIoThread();
    this.loop = new RelayLoop(thread, router, BootClock.SYSTEM);
    PrometheusMeterRegistry meterRegistry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    closer.add(meterRegistry::close);
    this.meters = new RelayMeters(meterRegistry);
    RelayFactLog factLog = new RelayFactLog();
    Consumer<RelayFact> facts =
        fact -> {
          factLog.accept(fact);
          meters.accept(fact);
        };
    RelayDialect dialect = adapter.dialect();
    UpstreamClient client =
        closer.add(new UpstreamClient(worker, CLIENT_SETTINGS, BootClock.SYSTEM::nanoTime));
    this.executor =
        new RelayExecutor(loop, dialect, client, thread, RelayClientSettings.DEFAULT, facts);
    loop.setEffectSink(executor);
    this.loadExchange = closer.add(new LoadExchange(settings, worker.worker(), loop, facts));
    executor.setPeerReporters(
        loadExchange::answer, loadExchange::reportSuspects, loadExchange::execute);
    executor.setSuspectStore(this::storeSuspects);
    thread.execute(() -> loadExchange.suspects(() -> router.suspects(loop.now())));
    thread.execute(() -> loadExchange.quotas(router));
    loop.setAfterBatch(this::observe);
    this.status =
        closer.add(
            StatusListener.start(
                worker,
                settings.readiness(),
                settings.metrics(),
                this::isReady,
                meterRegistry::scrape,
                new QuarantineAdmin(loop, router),
                new LimitAdmin(loop, router)));
    this.listener =
        closer.add(RelayListener.start(callerSettings(settings), worker, loop, executor, dialect));
    meters.register(listener);
    HttpClientOptions options =
        HttpClientOptions.of(settings.store()).withTimeout(settings.storeTimeout());
    ObjectApi store = adapter.store(options, worker.worker(), scheduler);
    this.registry =
        new NodeRegistry(
            store,
            scheduler,
            settings.host(),
            settings.peer(),
            loadExchange::addRegistered,
            suspects -> loop.submit(new RelayEvent.SuspectsHeard(loop.now(), suspects)),
            meters::unreadable);
    BuildHistoryReader history = new BuildHistoryReader(store, scheduler, meters::unreadable);
    BuildHistoryWriter historyWriter =
        new BuildHistoryWriter(
            store,
            scheduler,
            loadExchange::rank,
            registry::isNew,
            b -> loop.submit(new RelayEvent.BuildsRecorded(loop.now(), b.service(), b.builds())),
            new SplittableRandom(settings.host().hashCode()));
    executor.setBuildHistory(e -> scheduler.execute(() -> execute(e, history, historyWriter)));
    StreamRecordWriter streams = new StreamRecordWriter(store, scheduler, settings.host());
    loadExchange.streamStorage(s -> scheduler.execute(() -> streams.add(s)));
    StageController stages =
        closer.add(
            new StageController(
                settings.prefillShare(),
                settings.host(),
                store,
                scheduler,
                new AnnouncedOrders(new OrderSender(client, dialect, loop)),
                loadExchange::rank));
    RelayFeed feed =
        closer.add(
            new RelayFeed(
                adapter,
                store,
                scheduler,
                settings.watchTime(),
                new SplittableRandom(System.nanoTime()),
                () -> loadExchange.livePeers().size() + 1,
                loadExchange::rank,
                loop,
                stages,
                meters));
    loadExchange.storeVersions(feed::newestVersions, feed::onPeerVersions);
    executor.setStateReaders(
        number -> scheduler.execute(() -> feed.confirm(number)),
        number -> scheduler.execute(() -> feed.confirmUpstreams(number)));
    closer.add(loop);
    scheduler.execute(feed::start);
    client.setTunnelOpener(
        new PeerTunnelOpener(
            worker,
            settings.peer().getAddress(),
            loadExchange::tunnelPeers,
            BootClock.SYSTEM::nanoTime,
            settings.host().hashCode()));
    this.tunnels =
        closer.add(
            new TunnelHandler(worker, new RouterTunnelGate(router, loadExchange::livePeers)));
    PeerFeed peerFeed =
        closer.add(
            new PeerFeed(
                settings.peer(),
                feed,
                worker,
                scheduler,
                loadExchange::livePeers,
                tunnels,
                meters::copy));
    scheduler.execute(peerFeed::start);
    loop.submit(new RelayEvent.NodesUnknown(loop.now()));
    settings.seeds().stream()
        .map(seed -> new InetSocketAddress(seed.getAddress(), settings.peer().getPort()))
        .filter(seed -> !seed.equals(settings.peer()))
        .forEach(loadExchange::addPeer);
    scheduler.execute(stages::start);
    scheduler.execute(() -> feed.onRestored(registry::restored));
    scheduler.execute(registry::start);
  }

  private void execute(
      RelayEffect.OfBuilds effect, BuildHistoryReader history, BuildHistoryWriter writer) {
    switch (effect) {
      case RelayEffect.RecordBuilds e -> writer.record(e);
      case RelayEffect.ReadBuildHistory e ->
          history.read(
              (builds, streams) ->
                  loop.submit(
                      new RelayEvent.BuildHistoryRead(loop.now(), e.number(), builds, streams)));
    }
  }

  private void storeSuspects(RelayEffect.StoreSuspects news) {
    scheduler.execute(() -> registry.storeSuspects(news));
  }

  /**
   * Announces orders to the router before they are sent, so that it places no work on the upstreams
   * concerned.
   */
  private final class AnnouncedOrders implements StageController.Orders {
    private final OrderSender sender;

    AnnouncedOrders(OrderSender sender) {
      this.sender = sender;
    }

    @Override
    public CompletableFuture<Integer> send(
        RelayUpstream upstream, Stage stage, String holder, long fencing, BooleanSupplier allowed) {
      loop.submit(
          new RelayEvent.Ordered(
              loop.now(), upstream.incarnation(), StageController.MAX_ORDER_TIME.toNanos()));
      return sender
          .send(upstream, stage, holder, fencing, allowed)
          .whenComplete((status, failure) -> refusedOrder(upstream.incarnation(), status));
    }

    @Override
    public boolean reaches(UpstreamIncarnation upstream) {
      return !indirectUpstreams.contains(upstream);
    }
  }

  private void refusedOrder(UpstreamIncarnation upstream, Integer status) {
    if (status != null && status >= StatusCodes.BAD_REQUEST) {
      loop.submit(new RelayEvent.OrderRefused(loop.now(), upstream));
    }
  }

  private static CallerSettings callerSettings(RelayNodeSettings settings) {
    return CallerSettings.on(settings.callers())
        .withSizes(MAX_BODY_BYTES, MAX_BODIES_BYTES, MAX_PENDING_BYTES)
        .withTimeouts(HEADER_MILLIS, BODY_MILLIS, IDLE_MILLIS, STALL_MILLIS);
  }

  /**
   * Starts a node.
   *
   * @param settings the settings of the node
   * @param adapter the adapter to the platform
   */
  public static RelayNode start(RelayNodeSettings settings, RelayAdapter adapter) {
    Closer closer = new Closer();
    try {
      RelayNode node = new RelayNode(settings, adapter, closer);
      log.info(
          "event=started host={} data_centre={} caller={} store={}",
          settings.host(),
          settings.dataCentre(),
          settings.callers(),
          settings.store());
      return node;
    } catch (RuntimeException e) {
      try {
        closer.close();
      } catch (Exception suppressed) {
        e.addSuppressed(suppressed);
      }
      throw e;
    }
  }

  private void observe() {
    upstreams = router.upstreamCount();
    meters.placementPasses(router.placementPasses());
    indirectUpstreams = router.indirectUpstreams();
    long nowNanos = loop.now();
    loadExchange.update(
        router.loads(), router.losingHandles(nowNanos), router.reservationRequests(nowNanos));
    inProgress = router.inProgress();
    boolean isReady = router.isReady();
    if (isReady != ready) {
      ready = isReady;
      log.info("event=readiness ready={}", isReady);
    }
  }

  /** Returns the number of known upstreams. */
  public int upstreams() {
    return upstreams;
  }

  /** Returns the number of calls in progress. */
  public int inProgress() {
    return inProgress;
  }

  /** Returns whether the node is ready for calls and not draining. */
  public boolean isReady() {
    return ready && !draining;
  }

  /** Returns the address of the metrics and operator endpoints. */
  public InetSocketAddress metricsAddress() {
    return status.metricsAddress();
  }

  /** Returns the address for callers. */
  public InetSocketAddress callerAddress() {
    return listener.address();
  }

  /**
   * Stops accepting new callers, completes the calls in progress and ends within the grace time;
   * see {@link #drained}.
   */
  public synchronized void drain() {
    if (!draining) {
      draining = true;
      log.info(
          "event=drain_begun in_progress={} leave_ms={} grace_ms={}",
          inProgress,
          settings.leaveTime().toMillis(),
          settings.graceTime().toMillis());
      listener.closeAfterAnswers();
      loadExchange.leave();
      loop.submit(new RelayEvent.Draining(loop.now()));
      long beginNanos = scheduler.nanoTime();
      scheduler.schedule(settings.leaveTime(), () -> refuseNewCalls(beginNanos));
    }
  }

  /** Returns a future that completes when the process may exit. */
  public CompletableFuture<Void> drained() {
    return drained.copy();
  }

  /**
   * Refuses new calls and tunnels. The calls in progress are checked only after a delay, when the
   * I/O thread has counted those accepted before; otherwise the process could exit with a call just
   * accepted.
   */
  private void refuseNewCalls(long beginNanos) {
    listener.refuseNew();
    tunnels.refuseNew();
    loop.submit(new RelayEvent.Ticked(loop.now()));
    scheduler.schedule(DRAIN_CHECK_PERIOD.multipliedBy(2), () -> checkDrained(beginNanos));
  }

  private void checkDrained(long beginNanos) {
    long leftNanos =
        settings.graceTime().minus(EXIT_MARGIN).toNanos() - (scheduler.nanoTime() - beginNanos);
    int openTunnels = tunnels.activeTunnels();
    if ((inProgress == 0 && openTunnels == 0) || leftNanos <= 0) {
      log.info("event=drain_done in_progress={} tunnels={}", inProgress, openTunnels);
      thread.execute(this::abandonRemaining);
    } else {
      scheduler.schedule(DRAIN_CHECK_PERIOD, () -> checkDrained(beginNanos));
    }
  }

  /**
   * Abandons the calls that exceed the grace time while their connections can still be reset, so
   * that upstreams and callers notice, then completes the drain.
   */
  private void abandonRemaining() {
    loop.close();
    executor.abandonAll();
    thread.execute(() -> drained.complete(null));
  }

  @Override
  public void close() throws Exception {
    closer.close();
  }
}
