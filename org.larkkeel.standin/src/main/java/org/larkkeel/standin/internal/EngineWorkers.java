/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.standin.internal;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * The threads of one incarnation of an engine: prefill, decode and housekeeping.
 *
 * <p>Prefill and decode sleep for the time that the hardware would need.
 *
 * <p>Safe for use by several threads.
 *
 * @since 0.1
 */
final class EngineWorkers implements AutoCloseable {
  private static final Duration HOUSEKEEPING_INTERVAL = Duration.ofMillis(20);

  /**
   * The maximum sleep between two steps of a prefill, and the maximum delay that decoding makes up.
   */
  private static final long SLICE_NANOS = 10_000_000;

  private final EngineState state;
  private final List<Thread> threads = new ArrayList<>();

  private interface Worker {
    /** Runs one round; returns false if the thread must end. */
    boolean runRound() throws InterruptedException;
  }

  EngineWorkers(EngineState state) {
    this.state = state;
    start("prefill", this::prefill);
    start("decode", this::decode);
    start("housekeeping", this::housekeep);
  }

  @Override
  public void close() {
    threads.forEach(Thread::interrupt);
  }

  private void start(String name, Worker worker) {
    threads.add(
        Thread.ofVirtual().name(state.settings.name() + "-" + name).start(() -> run(worker)));
  }

  private void run(Worker worker) {
    try {
      boolean hasMore = true;
      while (hasMore) {
        state.faults.gate.awaitOpen();
        hasMore = worker.runRound();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private boolean prefill() throws InterruptedException {
    EngineRequest request = state.awaitNextPrefill();
    if (request == null) {
      return false;
    }
    int tokens = request.promptTokens - request.cachedTokens;
    long totalNanos = state.settings.speeds().prefillNanos(tokens);
    long doneNanos = 0;
    while (doneNanos < totalNanos) {
      state.faults.gate.awaitOpen();
      long sleepStartNanos = System.nanoTime();
      Thread.sleep(Duration.ofNanos(Math.min(SLICE_NANOS, totalNanos - doneNanos)));
      doneNanos = Math.min(totalNanos, doneNanos + System.nanoTime() - sleepStartNanos);
      if (!state.recordPrefillProgress(
          request, (int) (tokens * (doneNanos / (double) totalNanos)))) {
        return true;
      }
    }
    state.finishPrefill(request);
    return true;
  }

  private boolean decode() throws InterruptedException {
    int batchSize = state.awaitBatchSize();
    if (batchSize == 0) {
      return false;
    }
    long nextStepNanos = System.nanoTime() + state.settings.speeds().stepNanos(batchSize);
    while (batchSize > 0) {
      Thread.sleep(Duration.ofNanos(Math.max(0, nextStepNanos - System.nanoTime())));
      state.faults.gate.awaitOpen();
      state.runDecodeStep();
      batchSize = state.batchSize();
      nextStepNanos =
          Math.max(nextStepNanos, System.nanoTime() - SLICE_NANOS)
              + state.settings.speeds().stepNanos(batchSize);
    }
    return true;
  }

  private boolean housekeep() throws InterruptedException {
    state.housekeep();
    Thread.sleep(HOUSEKEEPING_INTERVAL);
    return !state.isKilled();
  }
}
