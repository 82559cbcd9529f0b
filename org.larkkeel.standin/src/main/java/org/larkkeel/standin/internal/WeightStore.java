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
 * The weight store: pulls of model weights, limited in number and rate.
 *
 * <p>Invariant: pulls that run at the same time never pass the limit. Safe for use by several
 * threads.
 *
 * @since 0.1
 */
public final class WeightStore {
  private final long bytes;
  private final long bytesPerSecond;
  private final int limit;
  private final Deque<Long> ends = new ArrayDeque<>();
  private long pulls;

  /** What is known of a version of a model. */
  record Weights(String model, String version, long bytes) {}

  /** A pull that was started. */
  record Pull(String pull, long bytes, long bytesPerSecond) {}

  /** A request for a pull. */
  record PullRequest(String upstream) {}

  /**
   * Creates a store.
   *
   * @param bytes the size of each version, in bytes
   * @param bytesPerSecond the rate of one pull
   * @param limit the pulls that run at the same time
   */
  public WeightStore(long bytes, long bytesPerSecond, int limit) {
    this.bytes = bytes;
    this.bytesPerSecond = bytesPerSecond;
    this.limit = limit;
  }

  Weights weights(String model, String version) {
    return new Weights(model, version, bytes);
  }

  synchronized Pull pull(PullRequest request) {
    if (request.upstream() == null) {
      throw new RefusedException(400, "BadRequest", "upstream is missing: send a name");
    }
    long now = System.nanoTime();
    while (!ends.isEmpty() && ends.peekFirst() - now <= 0) {
      ends.removeFirst();
    }
    if (ends.size() >= limit) {
      throw new RefusedException(
          429, "TooManyRequests", limit + " pulls are running: repeat later");
    }
    ends.addLast(now + (long) (bytes / (double) bytesPerSecond * TimeUnit.SECONDS.toNanos(1)));
    pulls++;
    return new Pull("pull-" + pulls, bytes, bytesPerSecond);
  }
}
