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
 * The drain of a node: it turns unready, refuses new requests after a grace period and waits for
 * those in progress.
 *
 * <p>Invariant: the drain ends only when no request is in progress, when its time limit has passed
 * or when {@link #finishNow} is called. Safe for use by several threads.
 *
 * @since 0.1
 */
public final class Drain {
  private static final Logger log = LoggerFactory.getLogger(Drain.class);
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(20);

  private final Scheduler scheduler;
  private final Steps steps;
  private final Duration grace;
  private final Duration limit;
  private final CompletableFuture<Void> done = new CompletableFuture<>();
  private boolean begun;
  private long deadlineNanos;

  /**
   * The actions of a node at each step; they must not block.
   *
   * @param markUnready makes the load balancer choose other nodes and hands ownership over;
   *     requests are still accepted
   * @param refuseRequests makes the node refuse new requests
   * @param isIdle whether no request is in progress
   */
  public record Steps(Runnable markUnready, Runnable refuseRequests, BooleanSupplier isIdle) {}

  /**
   * Creates a drain that has not started.
   *
   * @param scheduler runs the steps
   * @param steps the actions of the node
   * @param limits the grace period and the time limit
   */
  public Drain(Scheduler scheduler, Steps steps, LimitSettings limits) {
    this.scheduler = scheduler;
    this.steps = steps;
    this.grace = limits.grace();
    this.limit = limits.drain();
  }

  /**
   * Returns a future of the end of the drain.
   *
   * @return completes when the drain has ended; cancelling it does not affect the drain
   */
  public CompletableFuture<Void> done() {
    return done.copy();
  }

  /**
   * Starts the drain; repeated calls have no further effect.
   *
   * @return completes when no request is in progress, when the time limit has passed or when {@link
   *     #finishNow} is called
   */
  public synchronized CompletableFuture<Void> begin() {
    if (!begun) {
      begun = true;
      log.info("event=drain_begun grace_ms={} limit_ms={}", grace.toMillis(), limit.toMillis());
      steps.markUnready.run();
      scheduler.schedule(grace, this::refuse);
    }
    return done;
  }

  /**
   * Returns whether the drain has started.
   *
   * @return true from the first call of {@link #begin} on
   */
  public synchronized boolean hasBegun() {
    return begun;
  }

  /** Ends the drain immediately, without waiting for requests in progress. */
  public void finishNow() {
    if (done.complete(null)) {
      log.warn("event=drain_hurried");
    }
  }

  private void refuse() {
    deadlineNanos = scheduler.nanoTime() + limit.toNanos();
    steps.refuseRequests.run();
    scheduler.schedule(CHECK_INTERVAL, this::check);
  }

  private void check() {
    if (done.isDone()) {
      return;
    }
    if (steps.isIdle.getAsBoolean()) {
      log.info("event=drain_done");
      done.complete(null);
    } else if (scheduler.nanoTime() - deadlineNanos >= 0) {
      log.warn("event=drain_limit_over");
      done.complete(null);
    } else {
      scheduler.schedule(CHECK_INTERVAL, this::check);
    }
  }
}
