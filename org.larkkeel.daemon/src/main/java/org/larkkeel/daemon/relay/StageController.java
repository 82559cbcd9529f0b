/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import java.util.stream.Collectors;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.relay.RelayUpstream;
import org.larkkeel.relay.ServiceName;
import org.larkkeel.relay.Stage;
import org.larkkeel.store.ObjectApi;
import org.larkkeel.store.Scheduler;
import org.larkkeel.store.lease.Lease;
import org.larkkeel.store.lease.LeaseTerm;
import org.larkkeel.store.log.WriterId;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the share of prefill upstreams in each service near its target, by ordering upstreams of
 * the surplus stage to change it.
 *
 * <p>Only the holder of a lease gives orders, and the lease is sought only while an order is due,
 * so that a balanced cluster makes no calls to the store. Invariants: only one order is in progress
 * at a time; the lease is kept until the order must have been carried out, so that no two holders
 * give an upstream alternating orders; no order is due for an upstream that this node does not
 * reach, so that another node gives it; no order is sent once the upstream has restarted. An order
 * on its way may still reach the new incarnation, so the next order waits as long as after any
 * other. Runs on the scheduler.
 */
final class StageController implements AutoCloseable {
  private static final Logger log = LoggerFactory.getLogger(StageController.class);
  private static final String LEASE = "stages";
  private static final Duration LEASE_TIME = Duration.ofSeconds(6);
  private static final Duration CHECK_PERIOD = Duration.ofMillis(500);

  /** The maximum time in which an upstream carries an order out, including the work that it has. */
  static final Duration MAX_ORDER_TIME = Duration.ofSeconds(15);

  /**
   * The time for which the share must be off target before the lease is sought, until it was on
   * target once; {@link #DELAY_PER_RANK} is added per rank.
   */
  private static final Duration INITIAL_STEADY_TIME = Duration.ofMillis(1_500);

  /**
   * The time for which the share must be off target before the lease is sought, once it was on
   * target. It is longer, because an upstream that crashed may be back soon and one that changes
   * its stage serves nothing for some time.
   */
  private static final Duration STEADY_TIME = Duration.ofSeconds(5);

  /** The minimum number of upstreams that must keep running calls. */
  private static final int MIN_RUNNERS = 2;

  private static final Duration DELAY_PER_RANK = Duration.ofMillis(2_500);

  /** The maximum time until an order shows in the store; the lease is kept for as long. */
  private static final Duration SETTLING_TIME = Duration.ofSeconds(12);

  /** The minimum time between two orders to the same upstream, if the first had no effect. */
  private static final Duration REORDER_TIME = Duration.ofSeconds(60);

  /** The minimum remaining lease time for giving an order. */
  private static final Duration MIN_LEASE_LEFT = Duration.ofSeconds(2);

  /**
   * Subtracted before rounding up, so that a fraction just above a whole number does not add an
   * upstream.
   */
  private static final double ROUNDING = 0.2;

  private final double prefillShare;
  private final HostName self;
  private final Scheduler scheduler;
  private final Orders orders;
  private final IntSupplier rank;
  private final Lease lease;
  private final Map<UpstreamIncarnation, Long> orderNanos = new HashMap<>();

  /** Also read on other threads, right before an order is sent. */
  private final ConcurrentMap<UpstreamName, RelayUpstream> upstreams = new ConcurrentHashMap<>();

  private long offTargetSinceNanos = Long.MAX_VALUE;
  private long lastOrderNanos = Long.MIN_VALUE;
  private boolean seekingLease;
  private boolean wasOnTarget;
  private boolean closed;

  /** An order that is due. */
  private record Change(RelayUpstream upstream, Stage stage) {}

  /** Sends an order; see {@link org.larkkeel.http.relay.OrderSender#send}. */
  interface Orders {
    CompletableFuture<Integer> send(
        RelayUpstream upstream, Stage stage, String holder, long fencing, BooleanSupplier allowed);

    /** Returns whether orders of this node reach an upstream, as far as is known; thread-safe. */
    default boolean reaches(UpstreamIncarnation upstream) {
      return true;
    }
  }

  StageController(
      double prefillShare,
      HostName self,
      ObjectApi store,
      Scheduler scheduler,
      Orders orders,
      IntSupplier rank) {
    this.prefillShare = prefillShare;
    this.self = self;
    this.scheduler = scheduler;
    this.orders = orders;
    this.rank = rank;
    Incarnation incarnation = new Incarnation(Math.max(1, scheduler.wallMillis()));
    this.lease =
        new Lease(
            store,
            LEASE,
            new WriterId(self, incarnation),
            scheduler,
            new SplittableRandom(incarnation.value()),
            LEASE_TIME);
  }

  void start() {
    if (prefillShare > 0) {
      scheduler.schedule(CHECK_PERIOD, this::check);
    }
  }

  /** Applies changes of the discovery list. */
  void upstreams(
      ImmutableMap<UpstreamName, RelayUpstream> changed, ImmutableSet<UpstreamName> removed) {
    upstreams.putAll(changed);
    removed.forEach(upstreams::remove);
  }

  private void check() {
    if (closed) {
      return;
    }
    scheduler.schedule(CHECK_PERIOD, this::check);
    long nowNanos = scheduler.nanoTime();
    Optional<Change> dueChange = dueChange(nowNanos);
    if (dueChange.isEmpty()) {
      wasOnTarget |= !upstreams.isEmpty();
      offTargetSinceNanos = Long.MAX_VALUE;
      if (seekingLease && isSettled(nowNanos)) {
        seekingLease = false;
        lease.release();
      }
      return;
    }
    offTargetSinceNanos = Math.min(offTargetSinceNanos, nowNanos);
    Duration steady = wasOnTarget ? STEADY_TIME : INITIAL_STEADY_TIME;
    Duration wait = steady.plus(DELAY_PER_RANK.multipliedBy(rank.getAsInt()));
    if (!seekingLease && nowNanos - offTargetSinceNanos >= wait.toNanos()) {
      seekingLease = true;
      lease.start();
    }
    if (seekingLease && isSettled(nowNanos)) {
      lease.term().ifPresent(t -> order(nowNanos, dueChange.get(), t));
    }
  }

  private boolean isSettled(long nowNanos) {
    return lastOrderNanos == Long.MIN_VALUE || nowNanos - lastOrderNanos >= SETTLING_TIME.toNanos();
  }

  /** Returns the order that is due; empty if all services are on target. */
  private Optional<Change> dueChange(long nowNanos) {
    Map<ServiceName, List<RelayUpstream>> services =
        upstreams.values().stream()
            .filter(u -> u.stage() != Stage.WHOLE && !u.leaving())
            .collect(Collectors.groupingBy(RelayUpstream::service));
    return services.values().stream()
        .flatMap(serviceUpstreams -> dueChange(serviceUpstreams, nowNanos).stream())
        .findFirst();
  }

  private Optional<Change> dueChange(List<RelayUpstream> serviceUpstreams, long nowNanos) {
    long prefillCount = prefillCount(serviceUpstreams);
    long wantedCount = wantedPrefills(serviceUpstreams.size());
    if (prefillCount > wantedCount) {
      return surplusPrefill(serviceUpstreams, nowNanos).map(u -> new Change(u, Stage.DECODE));
    }
    if (prefillCount < wantedCount && serviceUpstreams.size() - prefillCount > MIN_RUNNERS) {
      return surplusDecode(serviceUpstreams, nowNanos).map(u -> new Change(u, Stage.PREFILL));
    }
    return Optional.empty();
  }

  private static long prefillCount(List<RelayUpstream> all) {
    return all.stream().filter(u -> u.stage() == Stage.PREFILL).count();
  }

  private long wantedPrefills(int upstreamCount) {
    return Math.max(1, (long) Math.ceil(prefillShare * upstreamCount - ROUNDING));
  }

  /**
   * Returns the prefill upstream to convert: one in the data centre with the fewest upstreams that
   * run calls.
   */
  private Optional<RelayUpstream> surplusPrefill(List<RelayUpstream> all, long nowNanos) {
    return all.stream()
        .filter(u -> u.stage() == Stage.PREFILL && mayBeOrdered(u, nowNanos))
        .min(byRunnerCount(all));
  }

  /**
   * Returns the decode upstream to convert: one in the data centre with the most upstreams that run
   * calls.
   */
  private Optional<RelayUpstream> surplusDecode(List<RelayUpstream> all, long nowNanos) {
    return all.stream()
        .filter(u -> u.stage() == Stage.DECODE && mayBeOrdered(u, nowNanos))
        .max(byRunnerCount(all));
  }

  private boolean mayBeOrdered(RelayUpstream u, long nowNanos) {
    return orders.reaches(u.incarnation())
        && nowNanos - orderNanos.getOrDefault(u.incarnation(), nowNanos - REORDER_TIME.toNanos())
            >= REORDER_TIME.toNanos();
  }

  private static Comparator<RelayUpstream> byRunnerCount(List<RelayUpstream> all) {
    return Comparator.comparingLong((RelayUpstream u) -> runnerCount(all, u))
        .thenComparing(RelayUpstream::name);
  }

  private static long runnerCount(List<RelayUpstream> all, RelayUpstream near) {
    return all.stream()
        .filter(u -> u.dataCentre().equals(near.dataCentre()) && u.stage().runsCalls())
        .count();
  }

  private void order(long nowNanos, Change change, LeaseTerm term) {
    if (term.untilNanos() - nowNanos < MIN_LEASE_LEFT.toNanos()) {
      return;
    }
    lastOrderNanos = nowNanos;
    RelayUpstream upstream = change.upstream();
    orderNanos.values().removeIf(at -> nowNanos - at >= REORDER_TIME.toNanos());
    orderNanos.put(upstream.incarnation(), nowNanos);
    long fencing = term.fencing().value();
    log.info(
        "event=ordered upstream={} start={} stage={} fencing={} upstreams={}",
        upstream.name(),
        upstream.incarnation().incarnation(),
        change.stage(),
        fencing,
        upstreams.size());
    orders
        .send(
            upstream,
            change.stage(),
            self.value(),
            fencing,
            () -> term.isHeld(scheduler.nanoTime()) && isCurrent(upstream.incarnation()))
        .whenComplete(
            (status, failure) ->
                log.info(
                    "event=order_answered upstream={} fencing={} outcome={}",
                    upstream.name(),
                    fencing,
                    failure == null ? status : failure.getMessage()));
  }

  private boolean isCurrent(UpstreamIncarnation incarnation) {
    RelayUpstream current = upstreams.get(incarnation.name());
    return current != null && current.incarnation().equals(incarnation);
  }

  @Override
  public void close() {
    closed = true;
    if (isSettled(scheduler.nanoTime())) {
      lease.close();
    }
  }
}
