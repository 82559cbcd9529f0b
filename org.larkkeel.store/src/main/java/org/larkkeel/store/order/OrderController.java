/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.order;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.larkkeel.config.Configuration;
import org.larkkeel.config.Upstream;
import org.larkkeel.lib.FencingNumber;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.store.Scheduler;
import org.larkkeel.store.lease.Lease;
import org.larkkeel.store.lease.LeaseTerm;

/**
 * Sends the orders that bring engines to their declared shape, while this process holds the lease.
 *
 * <p>Invariants: an order is sent only if the lease term under which it was planned is still held
 * when its first byte is written, by monotonic time measured from before the lease was requested.
 * An order whose outcome is unknown counts as in progress until the longest pause is over. Reports
 * that engines gave under an earlier lease term are not used. Confined to the scheduler, except
 * {@link #start}, {@link #release} and {@link #close}.
 *
 * @since 0.1
 */
public final class OrderController implements AutoCloseable {
  /** The name of the lease. */
  public static final String LEASE = "orders";

  /** The number of hosts that try to acquire the lease. */
  public static final int CANDIDATE_HOSTS = 3;

  private static final Duration PERIOD = Duration.ofSeconds(1);
  private static final Duration READ_INTERVAL = Duration.ofSeconds(30);
  private static final int READS_PER_PERIOD = 32;

  private final Dependencies dependencies;
  private final OrderLimits limits;
  private final OrderPlanner planner;
  private final Map<UpstreamName, EngineTracker> engines = new HashMap<>();
  private Optional<FencingNumber> fencing = Optional.empty();
  private long pullsPausedUntilNanos;
  private volatile boolean closed;

  /**
   * The collaborators of the controller.
   *
   * @param lease the lease, not started
   * @param scheduler the lease's scheduler
   * @param engines the calls to engines
   * @param weights the weight store
   * @param configuration the configuration in force
   * @param candidate returns whether this host is one of those that try to acquire the lease
   * @param listener receives the results of orders and pulls
   */
  public record Dependencies(
      Lease lease,
      Scheduler scheduler,
      EnginePort engines,
      WeightStore weights,
      Supplier<Configuration> configuration,
      BooleanSupplier candidate,
      OrderListener listener) {}

  /**
   * Creates a controller that is not started yet.
   *
   * @param dependencies the collaborators
   * @param limits the time limits and the number of concurrent pulls
   */
  public OrderController(Dependencies dependencies, OrderLimits limits) {
    this.dependencies = dependencies;
    this.limits = limits;
    this.planner = new OrderPlanner(limits);
    this.pullsPausedUntilNanos = dependencies.scheduler().nanoTime();
  }

  /** Starts the periodic planning. */
  public void start() {
    dependencies.scheduler().execute(this::runPeriod);
  }

  /** Releases the lease and sends no further orders. */
  public void release() {
    closed = true;
    dependencies.lease().close();
  }

  @Override
  public void close() {
    release();
  }

  private void runPeriod() {
    if (closed) {
      return;
    }
    if (dependencies.candidate().getAsBoolean()) {
      dependencies.lease().start();
    } else {
      dependencies.lease().release();
    }
    reconcile();
    dependencies.scheduler().schedule(PERIOD, this::runPeriod);
  }

  private void reconcile() {
    Optional<LeaseTerm> term = dependencies.lease().term();
    Optional<FencingNumber> number = term.map(LeaseTerm::fencing);
    if (!number.equals(fencing)) {
      fencing = number;
      engines.values().forEach(EngineTracker::discardReport);
    }
    if (term.isEmpty()) {
      return;
    }
    Configuration configuration = dependencies.configuration().get();
    engines.keySet().retainAll(configuration.upstreams().keySet());
    readOutdated(configuration);
    long now = now();
    ImmutableList<EngineView> views =
        configuration.upstreams().values().stream()
            .filter(u -> !u.models().isEmpty())
            .map(u -> engine(u.name()).view(u, now))
            .collect(ImmutableList.toImmutableList());
    planner
        .plan(now, term, views, pullsInProgress(now))
        .forEach(s -> execute(s, configuration.upstreams().get(s.upstream())));
  }

  private EngineTracker engine(UpstreamName name) {
    return engines.computeIfAbsent(name, n -> new EngineTracker(now()));
  }

  private void readOutdated(Configuration configuration) {
    long now = now();
    configuration.upstreams().values().stream()
        .filter(u -> !u.models().isEmpty())
        .filter(u -> engine(u.name()).needsRead(now, READ_INTERVAL.toNanos()))
        .sorted(Comparator.comparingLong(u -> engine(u.name()).readSentAtNanos() - now))
        .limit(READS_PER_PERIOD)
        .forEach(this::read);
  }

  private int pullsInProgress(long now) {
    if (now - pullsPausedUntilNanos < 0) {
      return limits.maxPulls();
    }
    return (int) engines.values().stream().mapToLong(e -> e.pullsInProgress(now)).sum();
  }

  private void execute(OrderStep step, Upstream upstream) {
    switch (step) {
      case OrderStep.ReadBack r -> {
        if (engine(r.upstream()).needsRead(now(), 0)) {
          read(upstream);
        }
      }
      case OrderStep.Pull p -> pull(upstream, p.model());
      case OrderStep.Send s -> send(upstream, s);
    }
  }

  private void read(Upstream upstream) {
    EngineTracker e = engine(upstream.name());
    Optional<FencingNumber> termFencing = fencing;
    long sentAtNanos = now();
    e.readStarted();
    dependencies
        .engines()
        .read(upstream)
        .whenCompleteAsync(
            (report, failure) ->
                e.readEnded(Optional.ofNullable(report), sentAtNanos, termFencing.equals(fencing)),
            dependencies.scheduler());
  }

  private void send(Upstream upstream, OrderStep.Send step) {
    if (!isAllowed(step.fencing())) {
      return;
    }
    EngineTracker e = engine(upstream.name());
    long maxPauseEnd = now() + limits.maxPause().toNanos();
    e.orderStarted();
    dependencies
        .engines()
        .order(
            upstream,
            step.fencing(),
            step.order(),
            () -> isAllowed(step.fencing()),
            limits.maxPause())
        .whenCompleteAsync(
            (result, failure) -> {
              OrderResult r = failure == null ? result : OrderResult.UNKNOWN;
              e.orderEnded(r, now(), maxPauseEnd);
              dependencies.listener().ordered(upstream.name(), step.order(), step.fencing(), r);
            },
            dependencies.scheduler());
  }

  /** Returns whether an order may be sent now. Called from any thread. */
  private boolean isAllowed(FencingNumber number) {
    return !closed
        && dependencies.lease().term().filter(t -> t.fencing().equals(number)).isPresent();
  }

  private void pull(Upstream upstream, ModelVersion model) {
    EngineTracker e = engine(upstream.name());
    e.pullStarted(model, now() + limits.maxPause().toNanos());
    dependencies
        .weights()
        .pull(upstream.name(), model)
        .whenCompleteAsync(
            (result, failure) -> {
              PullResult r = failure == null ? result : new PullResult.Failed();
              recordPull(e, model, r);
              dependencies.listener().pulled(upstream.name(), model, r);
            },
            dependencies.scheduler());
  }

  private void recordPull(EngineTracker e, ModelVersion model, PullResult result) {
    switch (result) {
      case PullResult.Started s -> e.pullStarted(model, now() + s.duration().toNanos());
      case PullResult.Throttled t -> {
        e.pullFailed(model);
        pullsPausedUntilNanos = now() + t.retryAfter().toNanos();
      }
      case PullResult.Failed f -> {
        e.pullFailed(model);
        pullsPausedUntilNanos = now() + PERIOD.toNanos();
      }
    }
  }

  private long now() {
    return dependencies.scheduler().nanoTime();
  }
}
