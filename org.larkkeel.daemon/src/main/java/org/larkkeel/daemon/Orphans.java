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
 * Frees what engines hold for starts of nodes that have ended.
 *
 * <p>The owner of an engine sweeps it when a node dies, again until nothing is left, and at a long
 * period for what arrived late. Requests of living nodes are never touched. Safe for use by several
 * threads.
 *
 * @since 0.1
 */
public final class Orphans implements AutoCloseable {
  private static final Logger log = LoggerFactory.getLogger(Orphans.class);
  private static final Duration PERIOD = Duration.ofSeconds(10);
  private static final Duration REPEAT = Duration.ofMillis(500);
  private static final int REPEATS = 6;

  private final OrphanSweep sweep;
  private final NodeConfiguration configuration;
  private final Predicate<UpstreamName> owned;
  private final Predicate<EngineRequestId.Origin> dead;
  private final Scheduler scheduler;
  private volatile boolean closed;

  /**
   * Creates a sweeper that has not begun.
   *
   * @param sweep asks and cancels
   * @param configuration names the engines
   * @param owned whether this node looks after an engine
   * @param dead whether a start of a node has ended for certain
   * @param scheduler runs the sweeps
   */
  public Orphans(
      OrphanSweep sweep,
      NodeConfiguration configuration,
      Predicate<UpstreamName> owned,
      Predicate<EngineRequestId.Origin> dead,
      Scheduler scheduler) {
    this.sweep = sweep;
    this.configuration = configuration;
    this.owned = owned;
    this.dead = dead;
    this.scheduler = scheduler;
  }

  /** Begins to sweep at a long period. */
  public void start() {
    scheduler.schedule(PERIOD, this::periodic);
  }

  private void periodic() {
    if (!closed) {
      sweepAll(0);
      start();
    }
  }

  /** A node died: sweeps now, and again for requests that were on their way. */
  public void nodeDied() {
    scheduler.execute(() -> sweepAll(REPEATS));
  }

  private void sweepAll(int repeats) {
    if (closed) {
      return;
    }
    configuration.current().upstreams().values().stream()
        .filter(UpstreamSide::isEngine)
        .filter(u -> owned.test(u.name()))
        .forEach(this::sweepOne);
    if (repeats > 0) {
      scheduler.schedule(REPEAT, () -> sweepAll(repeats - 1));
    }
  }

  private void sweepOne(Upstream upstream) {
    CompletableFuture<?> unused =
        sweep
            .sweep(UpstreamAddress.parse(upstream.address()), dead)
            .whenComplete((result, failure) -> swept(upstream, result, failure));
  }

  private static void swept(Upstream upstream, OrphanSweep.Result result, Throwable failure) {
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
