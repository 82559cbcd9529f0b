/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import org.larkkeel.config.Upstream;
import org.larkkeel.http.upstream.EngineRequestId;
import org.larkkeel.http.upstream.OrphanSweep;
import org.larkkeel.http.upstream.UpstreamAddress;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.store.Scheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Cancels orphans: requests that engines hold for node incarnations that have ended.
 *
 * <p>The owner of an engine sweeps it when a node dies, repeats the sweep a few times for requests
 * that were still on their way, and sweeps it periodically for those that arrive even later.
 * Requests of live nodes are never cancelled. Safe for use by several threads.
 *
 * @since 0.1
 */
public final class OrphanSweeper implements AutoCloseable {
  private static final Logger log = LoggerFactory.getLogger(OrphanSweeper.class);
  private static final Duration PERIOD = Duration.ofSeconds(10);
  private static final Duration RESWEEP_DELAY = Duration.ofMillis(500);
  private static final int RESWEEPS = 6;

  private final OrphanSweep sweep;
  private final NodeConfiguration configuration;
  private final Predicate<UpstreamName> isOwned;
  private final Predicate<EngineRequestId.Origin> isDead;
  private final Scheduler scheduler;
  private volatile boolean closed;

  /**
   * Creates a sweeper that does not run yet.
   *
   * @param sweep lists and cancels the requests of one engine
   * @param configuration the configuration in force, which lists the engines
   * @param isOwned whether this node owns an engine
   * @param isDead whether a node incarnation is known to have ended
   * @param scheduler runs the sweeps
   */
  public OrphanSweeper(
      OrphanSweep sweep,
      NodeConfiguration configuration,
      Predicate<UpstreamName> isOwned,
      Predicate<EngineRequestId.Origin> isDead,
      Scheduler scheduler) {
    this.sweep = sweep;
    this.configuration = configuration;
    this.isOwned = isOwned;
    this.isDead = isDead;
    this.scheduler = scheduler;
  }

  /** Starts the periodic sweeps. */
  public void start() {
    scheduler.schedule(PERIOD, this::sweepPeriodically);
  }

  private void sweepPeriodically() {
    if (!closed) {
      sweepAll(0);
      start();
    }
  }

  /** Sweeps after the death of a node, and repeats for requests that were still on their way. */
  public void nodeEnded() {
    scheduler.execute(() -> sweepAll(RESWEEPS));
  }

  private void sweepAll(int resweeps) {
    if (closed) {
      return;
    }
    configuration.current().upstreams().values().stream()
        .filter(UpstreamModule::isEngine)
        .filter(u -> isOwned.test(u.name()))
        .forEach(this::sweepOne);
    if (resweeps > 0) {
      scheduler.schedule(RESWEEP_DELAY, () -> sweepAll(resweeps - 1));
    }
  }

  private void sweepOne(Upstream upstream) {
    CompletableFuture<?> unused =
        sweep
            .sweep(UpstreamAddress.parse(upstream.address()), isDead)
            .whenComplete((result, failure) -> logSweep(upstream, result, failure));
  }

  private static void logSweep(Upstream upstream, OrphanSweep.Result result, Throwable failure) {
    if (failure != null) {
      log.debug("event=sweep_failed upstream={}", upstream.name());
    } else if (result.cancelled() > 0 || result.failed() > 0) {
      log.info(
          "event=orphans_swept upstream={} cancelled={} failed={}",
          upstream.name(),
          result.cancelled(),
          result.failed());
    }
  }

  @Override
  public void close() {
    closed = true;
  }
}
