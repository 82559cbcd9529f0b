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
import org.larkkeel.store.lease.Tenure;

/**
 * Orders engines to do what the configuration declares, while this process holds the lease.
 *
 * <p>Invariants: an order is sent only if the lease that it was planned under is held when its
 * first byte is written, by monotonic time from before the lease was asked for. An order whose
 * outcome is unknown counts as in progress until the longest pause is over. What engines said under
 * an earlier lease is not used. Confined to the scheduler, but for {@link #start}, {@link #release}
 * and {@link #close}.
 *
 * @since 0.1
 */
public final class OrderController implements AutoCloseable {
  /** The name of the lease. */
  public static final String LEASE = "orders";

  /** How many hosts seek the lease. */
  public static final int CANDIDATES = 3;

  private static final Duration PERIOD = Duration.ofSeconds(1);
  private static final Duration READ_INTERVAL = Duration.ofSeconds(30);
  private static final int READS_PER_PERIOD = 32;

  private final Parts parts;
  private final OrderLimits limits;
  private final OrderPlanner planner;
  private final Map<UpstreamName, EngineRecord> engines = new HashMap<>();
  private Optional<FencingNumber> fencing = Optional.empty();
  private long pullsPausedUntil;
  private volatile boolean closed;

  /**
   * What the controller works with.
   *
   * @param lease the lease, not started
   * @param scheduler the lease's scheduler
   * @param engines the calls to engines
   * @param weights the weight store
   * @param configuration the configuration in force
   * @param candidate whether this host is one of those that seek the lease
   * @param listener hears what became of orders
   */
  public record Parts(
      Lease lease,
      Scheduler scheduler,
      EnginePort engines,
      WeightStore weights,
      Supplier<Configuration> configuration,
      BooleanSupplier candidate,
      OrderListener listener) {}

  /**
   * Creates a controller that does nothing yet.
   *
   * @param parts what it works with
   * @param limits bounds
   */
  public OrderController(Parts parts, OrderLimits limits) {
    this.parts = parts;
    this.limits = limits;
    this.planner = new OrderPlanner(limits);
    this.pullsPausedUntil = parts.scheduler().nanoTime();
  }

  /** Begins. */
  public void start() {
    parts.scheduler().execute(this::run);
  }

  /** Hands the lease over and sends nothing more. */
  public void release() {
    closed = true;
    parts.lease().close();
  }

  @Override
  public void close() {
    release();
  }

  private void run() {
    if (closed) {
      return;
    }
    if (parts.candidate().getAsBoolean()) {
      parts.lease().start();
    } else {
      parts.lease().release();
    }
    step();
    parts.scheduler().schedule(PERIOD, this::run);
  }

  private void step() {
    Optional<Tenure> tenure = parts.lease().tenure();
    Optional<FencingNumber> number = tenure.map(Tenure::fencing);
    if (!number.equals(fencing)) {
      fencing = number;
      engines.values().forEach(EngineRecord::forget);
    }
    if (tenure.isEmpty()) {
      return;
    }
    Configuration configuration = parts.configuration().get();
    engines.keySet().retainAll(configuration.upstreams().keySet());
    refresh(configuration);
    long now = now();
    ImmutableList<EngineView> views =
        configuration.upstreams().values().stream()
            .filter(u -> !u.models().isEmpty())
            .map(u -> engine(u.name()).view(u, now))
            .collect(ImmutableList.toImmutableList());
    planner
        .plan(now, tenure, views, pullsInProgress(now))
        .forEach(s -> begin(s, configuration.upstreams().get(s.upstream())));
  }

  private EngineRecord engine(UpstreamName name) {
    return engines.computeIfAbsent(name, n -> new EngineRecord(now()));
  }

  private void refresh(Configuration configuration) {
    long now = now();
    configuration.upstreams().values().stream()
        .filter(u -> !u.models().isEmpty())
        .filter(u -> engine(u.name()).wantsRead(now, READ_INTERVAL.toNanos()))
        .sorted(Comparator.comparingLong(u -> engine(u.name()).readSentAt() - now))
        .limit(READS_PER_PERIOD)
        .forEach(this::read);
  }

  private int pullsInProgress(long now) {
    if (now - pullsPausedUntil < 0) {
      return limits.maxPulls();
    }
    return (int) engines.values().stream().mapToLong(e -> e.pullsInProgress(now)).sum();
  }

  private void begin(OrderStep step, Upstream upstream) {
    switch (step) {
      case OrderStep.ReadBack r -> {
        if (engine(r.upstream()).wantsRead(now(), 0)) {
          read(upstream);
        }
      }
      case OrderStep.Pull p -> pull(upstream, p.model());
      case OrderStep.Send s -> send(upstream, s);
    }
  }

  private void read(Upstream upstream) {
    EngineRecord e = engine(upstream.name());
    Optional<FencingNumber> under = fencing;
    long sentAt = now();
    e.readBegins();
    parts
        .engines()
        .read(upstream)
        .whenCompleteAsync(
            (report, failure) ->
                e.readEnded(Optional.ofNullable(report), sentAt, under.equals(fencing)),
            parts.scheduler());
  }

  private void send(Upstream upstream, OrderStep.Send step) {
    if (!isAllowed(step.fencing())) {
      return;
    }
    EngineRecord e = engine(upstream.name());
    long until = now() + limits.longestPause().toNanos();
    e.orderBegins();
    parts
        .engines()
        .order(
            upstream,
            step.fencing(),
            step.order(),
            () -> isAllowed(step.fencing()),
            limits.longestPause())
        .whenCompleteAsync(
            (result, failure) -> {
              OrderResult r = failure == null ? result : OrderResult.UNKNOWN;
              e.orderEnded(r, now(), until);
              parts.listener().ordered(upstream.name(), step.order(), step.fencing(), r);
            },
            parts.scheduler());
  }

  /** Whether an order may leave now. Called by any thread. */
  private boolean isAllowed(FencingNumber number) {
    return !closed && parts.lease().tenure().filter(t -> t.fencing().equals(number)).isPresent();
  }

  private void pull(Upstream upstream, ModelVersion model) {
    EngineRecord e = engine(upstream.name());
    e.pullBegins(model, now() + limits.longestPause().toNanos());
    parts
        .weights()
        .pull(upstream.name(), model)
        .whenCompleteAsync(
            (result, failure) -> {
              PullResult r = failure == null ? result : new PullResult.Failed();
              pulled(e, model, r);
              parts.listener().pulled(upstream.name(), model, r);
            },
            parts.scheduler());
  }

  private void pulled(EngineRecord e, ModelVersion model, PullResult result) {
    switch (result) {
      case PullResult.Started s -> e.pullBegins(model, now() + s.takes().toNanos());
      case PullResult.Throttled t -> {
        e.pullFailed(model);
        pullsPausedUntil = now() + t.retryAfter().toNanos();
      }
      case PullResult.Failed f -> {
        e.pullFailed(model);
        pullsPausedUntil = now() + PERIOD.toNanos();
      }
    }
  }

  private long now() {
    return parts.scheduler().nanoTime();
  }
}
