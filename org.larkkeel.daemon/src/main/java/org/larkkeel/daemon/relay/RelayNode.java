/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.undertow.util.StatusCodes;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.larkkeel.http.HttpWorker;
import org.larkkeel.http.caller.CallerSettings;
import org.larkkeel.http.relay.OrderSender;
import org.larkkeel.http.relay.RelayClientSettings;
import org.larkkeel.http.relay.RelayDialect;
import org.larkkeel.http.relay.RelayExecutor;
import org.larkkeel.http.relay.RelayListener;
import org.larkkeel.http.relay.RelayLoop;
import org.larkkeel.http.upstream.UpstreamClient;
import org.larkkeel.http.upstream.UpstreamClientSettings;
import org.larkkeel.lib.Closer;
import org.larkkeel.lib.UpstreamLife;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RelayEvent;
import org.larkkeel.relay.RelayRouter;
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
 * <p>One I/O thread carries connections and the router; another follows the store. Safe for use by
 * several threads.
 *
 * @since 0.1
 */
public final class RelayNode implements AutoCloseable {
  private static final Logger log = LoggerFactory.getLogger(RelayNode.class);
  private static final int IO_THREADS = 1;
  private static final int MAX_BODY_BYTES = 4 << 20;
  private static final long MAX_BODIES_BYTES = 48L << 20;
  private static final int MAX_PENDING_BYTES = 1 << 20;
  private static final int HEADER_MILLIS = 10_000;
  private static final int BODY_MILLIS = 20_000;
  private static final int IDLE_MILLIS = 120_000;
  private static final int STALL_MILLIS = 10_000;
  private static final UpstreamClientSettings CLIENT =
      new UpstreamClientSettings(64, 4, 256, 4_000, 4 << 20, 256 << 10);

  /** How long before the end of the grace the process ends. */
  private static final Duration BEFORE_END = Duration.ofMillis(600);

  private static final Duration CHECK = Duration.ofMillis(50);

  private final RelayNodeSettings settings;
  private final Closer closer;
  private final Scheduler scheduler;
  private final RelayRouter router;
  private final RelayListener listener;
  private final CompletableFuture<Void> drained = new CompletableFuture<>();
  private final LoadExchange loads;
  private final RelayLoop loop;
  private final RelayExecutor executor;
  private final XnioIoThread thread;
  private final NodeRegistry registry;
  private final StatusListener status;
  private volatile boolean ready;
  private volatile int inProgress;
  private volatile int upstreams;
  private volatile boolean draining;

  private RelayNode(RelayNodeSettings settings, RelayAdapter adapter, Closer closer) {
    this.settings = settings;
    this.closer = closer;
    ExecutorScheduler steps = closer.add(new ExecutorScheduler("larkkeel-store"));
    this.scheduler = steps;
    HttpWorker worker = closer.add(new HttpWorker(IO_THREADS));
    this.router = new RelayRouter(settings.router());
    this.thread = worker.worker().getIoThread();
    this.loop = new RelayLoop(thread, router, BootClock.SYSTEM);
    PrometheusMeterRegistry meterRegistry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    closer.add(meterRegistry::close);
    RelayMeters meters = new RelayMeters(meterRegistry);
    RelayFactLog facts = new RelayFactLog();
    RelayDialect dialect = adapter.dialect();
    UpstreamClient client =
        closer.add(new UpstreamClient(worker, CLIENT, BootClock.SYSTEM::nanoTime));
    this.executor =
        new RelayExecutor(
            loop,
            dialect,
            client,
            thread,
            RelayClientSettings.DEFAULT,
            fact -> {
              facts.accept(fact);
              meters.accept(fact);
            });
    loop.effects(executor);
    this.loads = closer.add(new LoadExchange(settings, worker.worker(), loop));
    executor.tells(loads::grant, this::tell);
    thread.execute(() -> loads.suspects(() -> router.suspects(loop.now())));
    thread.execute(() -> loads.quotas(router));
    loop.afterEach(this::observe);
    this.status =
        closer.add(
            StatusListener.start(
                worker,
                settings.readiness(),
                settings.metrics(),
                this::isReady,
                meterRegistry::scrape,
                new QuarantineDesk(loop, router),
                new LimitDesk(loop, router)));
    this.listener =
        closer.add(RelayListener.start(callers(settings), worker, loop, executor, dialect));
    HttpClientOptions options =
        HttpClientOptions.of(settings.store()).withTimeout(settings.storeTimeout());
    ObjectApi store = adapter.store(options, worker.worker(), scheduler);
    StageController stages =
        closer.add(
            new StageController(
                settings.prefillShare(),
                settings.host(),
                store,
                scheduler,
                announced(new OrderSender(client, dialect, loop)),
                loads::rank));
    RelayFeed feed =
        closer.add(
            new RelayFeed(
                adapter,
                store,
                scheduler,
                settings.watchTime(),
                new SplittableRandom(System.nanoTime()),
                () -> loads.live().size() + 1,
                loads::rank,
                loop,
                stages,
                meters));
    loads.changes(feed::changes, feed::others);
    closer.add(loop);
    scheduler.execute(feed::start);
    PeerFeed peerFeed =
        closer.add(new PeerFeed(settings.peer(), feed, worker, scheduler, loads::live));
    scheduler.execute(peerFeed::start);
    settings.seeds().stream()
        .map(seed -> new InetSocketAddress(seed.getAddress(), settings.peer().getPort()))
        .filter(seed -> !seed.equals(settings.peer()))
        .forEach(loads::meet);
    scheduler.execute(stages::start);
    this.registry =
        new NodeRegistry(
            store,
            scheduler,
            settings.host(),
            settings.peer(),
            loads::meet,
            suspects -> loop.submit(new RelayEvent.SuspectsHeard(loop.now(), suspects)),
            meters::unreadable);
    scheduler.execute(() -> feed.onRestored(registry::restored));
    scheduler.execute(registry::start);
  }

  /** What this node has found of a request is told to the others, and kept for those to come. */
  private void tell(RelayEffect.TellSuspect news) {
    loads.tellSuspect(news);
    scheduler.execute(() -> registry.keep(news.suspect()));
  }

  /** Orders, of which the router is told so that no work is placed on whom they concern. */
  private StageController.Orders announced(OrderSender sender) {
    return (upstream, stage, holder, fencing, allowed) -> {
      loop.submit(
          new RelayEvent.Ordered(
              loop.now(), upstream.life(), StageController.LONGEST_ORDER.toNanos()));
      return sender
          .send(upstream, stage, holder, fencing, allowed)
          .whenComplete((status, failure) -> refusedOrder(upstream.life(), status));
    };
  }

  private void refusedOrder(UpstreamLife upstream, Integer status) {
    if (status != null && status >= StatusCodes.BAD_REQUEST) {
      loop.submit(new RelayEvent.OrderRefused(loop.now(), upstream));
    }
  }

  private static CallerSettings callers(RelayNodeSettings settings) {
    return CallerSettings.on(settings.caller())
        .withSizes(MAX_BODY_BYTES, MAX_BODIES_BYTES, MAX_PENDING_BYTES)
        .withTimeouts(HEADER_MILLIS, BODY_MILLIS, IDLE_MILLIS, STALL_MILLIS);
  }

  /**
   * Starts a node.
   *
   * @param settings where it listens, and its bounds
   * @param adapter translates its surroundings
   */
  public static RelayNode start(RelayNodeSettings settings, RelayAdapter adapter) {
    Closer closer = new Closer();
    try {
      RelayNode node = new RelayNode(settings, adapter, closer);
      log.info(
          "event=started host={} data_centre={} caller={} store={}",
          settings.host(),
          settings.place(),
          settings.caller(),
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
    upstreams = router.upstreams();
    long now = loop.now();
    loads.tell(router.loads(), router.lapsing(now), router.asks(now));
    inProgress = router.inProgress();
    boolean isReady = router.isReady();
    if (isReady != ready) {
      ready = isReady;
      log.info("event=readiness ready={}", isReady);
    }
  }

  /** How many upstreams it knows. */
  public int upstreams() {
    return upstreams;
  }

  /** How many calls it has in progress. */
  public int inProgress() {
    return inProgress;
  }

  /** Whether it takes callers. */
  public boolean isReady() {
    return ready && !draining;
  }

  /** Where metrics are read and operators ask. */
  public InetSocketAddress metricsAddress() {
    return status.metricsAddress();
  }

  /** Where callers connect. */
  public InetSocketAddress callerAddress() {
    return listener.address();
  }

  /**
   * Takes no new callers any more, finishes what it has, and ends in time; see {@link #drained}.
   */
  public synchronized void drain() {
    if (!draining) {
      draining = true;
      log.info(
          "event=drain_begun in_progress={} leave_ms={} grace_ms={}",
          inProgress,
          settings.leave().toMillis(),
          settings.grace().toMillis());
      listener.closeAfterAnswers();
      loads.leave();
      loop.submit(new RelayEvent.Draining(loop.now()));
      long begun = scheduler.nanoTime();
      scheduler.schedule(settings.leave(), () -> finish(begun));
    }
  }

  /** Completes when the process may end. */
  public CompletableFuture<Void> drained() {
    return drained.copy();
  }

  /**
   * Takes no call any more. What was taken before is looked at only after a while, when the I/O
   * thread has counted it: else a call could be taken while the process ends.
   */
  private void finish(long begun) {
    listener.refuseNew();
    loop.submit(new RelayEvent.Ticked(loop.now()));
    scheduler.schedule(CHECK.multipliedBy(2), () -> checkDrained(begun));
  }

  private void checkDrained(long begun) {
    long left = settings.grace().minus(BEFORE_END).toNanos() - (scheduler.nanoTime() - begun);
    if (inProgress == 0 || left <= 0) {
      log.info("event=drain_done in_progress={}", inProgress);
      thread.execute(this::abandonRest);
    } else {
      scheduler.schedule(CHECK, () -> checkDrained(begun));
    }
  }

  /** Ends what the grace was too short for while the ends can still be seen, and is done. */
  private void abandonRest() {
    loop.close();
    executor.abandonAll();
    thread.execute(() -> drained.complete(null));
  }

  @Override
  public void close() throws Exception {
    closer.close();
  }
}
