/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.standin.internal;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * The faults of an engine that last over its incarnations.
 *
 * <p>Safe for use by several threads.
 *
 * @since 0.1
 */
public final class EngineFaults {
  /** Holds every thread of the engine while it is frozen. */
  public final Gate gate = new Gate();

  /** True while transfers make no progress. */
  public volatile boolean stalled;

  /** True while new requests are refused. */
  public volatile boolean draining;

  private final AtomicInteger failures = new AtomicInteger();

  /**
   * Sets how many of the next requests fail.
   *
   * @param count the number
   */
  public void failNext(int count) {
    failures.set(count);
  }

  /**
   * Takes one failure if there is one left.
   *
   * @return true if this request fails
   */
  boolean takeFailure() {
    return failures.getAndUpdate(n -> Math.max(0, n - 1)) > 0;
  }
}
