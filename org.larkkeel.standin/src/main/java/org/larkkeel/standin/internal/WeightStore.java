/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.standin.internal;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * The weight store, which limits the number and the rate of pulls of model weights.
 *
 * <p>Transfers no data; a pull only counts as running for the time that its bytes would need.
 * Invariant: the number of concurrent pulls never exceeds the limit. Safe for use by several
 * threads.
 *
 * @since 0.1
 */
public final class WeightStore {
  private final long bytes;
  private final long bytesPerSecond;
  private final int maxConcurrentPulls;
  private final Deque<Long> pullEndNanos = new ArrayDeque<>();
  private long startedPulls;

  /** The weights of one version of a model. */
  record Weights(String model, String version, long bytes) {}

  /** A pull that was started. */
  record Pull(String pull, long bytes, long bytesPerSecond) {}

  /** A request for a pull. */
  record PullRequest(String upstream) {}

  /**
   * Creates a store.
   *
   * @param bytes the size of each version, in bytes
   * @param bytesPerSecond the rate of one pull, in bytes per second
   * @param maxConcurrentPulls the maximum number of concurrent pulls
   */
  public WeightStore(long bytes, long bytesPerSecond, int maxConcurrentPulls) {
    this.bytes = bytes;
    this.bytesPerSecond = bytesPerSecond;
    this.maxConcurrentPulls = maxConcurrentPulls;
  }

  Weights weights(String model, String version) {
    return new Weights(model, version, bytes);
  }

  synchronized Pull pull(PullRequest request) {
    if (request.upstream() == null) {
      throw new RefusedException(400, "BadRequest", "upstream is missing: send a name");
    }
    long now = System.nanoTime();
    while (!pullEndNanos.isEmpty() && pullEndNanos.peekFirst() - now <= 0) {
      pullEndNanos.removeFirst();
    }
    if (pullEndNanos.size() >= maxConcurrentPulls) {
      throw new RefusedException(
          429, "TooManyRequests", maxConcurrentPulls + " pulls are running: repeat later");
    }
    pullEndNanos.addLast(
        now + (long) (bytes / (double) bytesPerSecond * TimeUnit.SECONDS.toNanos(1)));
    startedPulls++;
    return new Pull("pull-" + startedPulls, bytes, bytesPerSecond);
  }
}
