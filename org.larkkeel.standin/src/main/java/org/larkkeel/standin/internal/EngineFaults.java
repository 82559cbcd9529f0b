/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.standin.internal;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * The injected faults of an engine, which are kept over its incarnations.
 *
 * <p>Safe for use by several threads.
 *
 * @since 0.1
 */
public final class EngineFaults {
  /** Blocks every thread of the engine while the engine is frozen. */
  public final Gate gate = new Gate();

  /** True while KV transfers make no progress. */
  public volatile boolean transfersStalled;

  /** True while new requests are refused. */
  public volatile boolean draining;

  private final AtomicInteger remainingFailures = new AtomicInteger();

  /**
   * Sets the number of following requests that fail.
   *
   * @param count the number of requests
   */
  public void failNext(int count) {
    remainingFailures.set(count);
  }

  /**
   * Uses up one injected failure, if any is left.
   *
   * @return true if the request must fail
   */
  boolean consumeFailure() {
    return remainingFailures.getAndUpdate(n -> Math.max(0, n - 1)) > 0;
  }
}
