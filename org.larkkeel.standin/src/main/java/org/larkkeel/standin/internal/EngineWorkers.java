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
 * <p>Safe for use by several threads.
 *
 * @since 0.1
 */
final class EngineWorkers implements AutoCloseable {
  private static final Duration HOUSEKEEPING = Duration.ofMillis(20);
  private static final long SLICE_NANOS = 10_000_000;

  private final EngineState state;
  private final List<Thread> threads = new ArrayList<>();

  private interface Work {
    /** Does one round; false to end. */
    boolean round() throws InterruptedException;
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

  private void start(String name, Work work) {
    threads.add(Thread.ofVirtual().name(state.settings.name() + "-" + name).start(() -> run(work)));
  }

  private void run(Work work) {
    try {
      boolean more = true;
      while (more) {
        state.faults.gate.pass();
        more = work.round();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private boolean prefill() throws InterruptedException {
    EngineRequest request = state.takePrefill();
    if (request == null) {
      return false;
    }
    int tokens = request.promptTokens - request.cachedTokens;
    long total = state.settings.speeds().prefillNanos(tokens);
    long done = 0;
    while (done < total) {
      state.faults.gate.pass();
      long before = System.nanoTime();
      Thread.sleep(Duration.ofNanos(Math.min(SLICE_NANOS, total - done)));
      done = Math.min(total, done + System.nanoTime() - before);
      if (!state.progressPrefill(request, (int) (tokens * (done / (double) total)))) {
        return true;
      }
    }
    state.finishPrefill(request);
    return true;
  }

  private boolean decode() throws InterruptedException {
    int batch = state.awaitBatch();
    if (batch == 0) {
      return false;
    }
    long next = System.nanoTime() + state.settings.speeds().stepNanos(batch);
    while (batch > 0) {
      Thread.sleep(Duration.ofNanos(Math.max(0, next - System.nanoTime())));
      state.faults.gate.pass();
      state.step();
      batch = state.batchSize();
      next =
          Math.max(next, System.nanoTime() - SLICE_NANOS)
              + state.settings.speeds().stepNanos(batch);
    }
    return true;
  }

  private boolean housekeep() throws InterruptedException {
    state.housekeep();
    Thread.sleep(HOUSEKEEPING);
    return !state.isDead();
  }
}
