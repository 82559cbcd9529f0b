/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.larkkeel.daemon.settings.LimitSettings;
import org.larkkeel.store.Scheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The graceful stop of a node: unready first, then no new requests, then the end of those in
 * progress.
 *
 * <p>Invariant: it completes only when nothing is in progress, or after its limit, or if hurried.
 * Safe for use by several threads.
 *
 * @since 0.1
 */
public final class Drain {
  private static final Logger log = LoggerFactory.getLogger(Drain.class);
  private static final Duration CHECK = Duration.ofMillis(20);

  private final Scheduler scheduler;
  private final Steps steps;
  private final Duration grace;
  private final Duration limit;
  private final CompletableFuture<Void> done = new CompletableFuture<>();
  private boolean begun;
  private long end;

  /**
   * What a node does at each step; must not block.
   *
   * @param unready tells the balancer to choose other nodes; requests are still taken
   * @param refuse refuses new requests and hands ownership over
   * @param idle whether nothing is in progress
   */
  public record Steps(Runnable unready, Runnable refuse, BooleanSupplier idle) {}

  /**
   * Creates a drain that has not begun.
   *
   * @param scheduler runs the steps
   * @param steps what to do
   * @param limits how long requests are still taken, and how long the wait is at most
   */
  public Drain(Scheduler scheduler, Steps steps, LimitSettings limits) {
    this.scheduler = scheduler;
    this.steps = steps;
    this.grace = limits.grace();
    this.limit = limits.drain();
  }

  /**
   * Tells when the drain is over.
   *
   * @return done then
   */
  public CompletableFuture<Void> done() {
    return done.copy();
  }

  /**
   * Begins; repeating the call has no further effect.
   *
   * @return done when nothing is in progress, when the limit is over or when hurried
   */
  public synchronized CompletableFuture<Void> begin() {
    if (!begun) {
      begun = true;
      log.info("event=drain_begun grace_ms={} limit_ms={}", grace.toMillis(), limit.toMillis());
      steps.unready.run();
      scheduler.schedule(grace, this::refuse);
    }
    return done;
  }

  /**
   * Tells whether the drain has begun.
   *
   * @return true from the first call of {@link #begin}
   */
  public synchronized boolean hasBegun() {
    return begun;
  }

  /** Ends the wait at once; requests in progress are cut. */
  public void hurry() {
    if (done.complete(null)) {
      log.warn("event=drain_hurried");
    }
  }

  private void refuse() {
    end = scheduler.nanoTime() + limit.toNanos();
    steps.refuse.run();
    scheduler.schedule(CHECK, this::check);
  }

  private void check() {
    if (done.isDone()) {
      return;
    }
    if (steps.idle.getAsBoolean()) {
      log.info("event=drain_done");
      done.complete(null);
    } else if (scheduler.nanoTime() - end >= 0) {
      log.warn("event=drain_limit_over");
      done.complete(null);
    } else {
      scheduler.schedule(CHECK, this::check);
    }
  }
}
