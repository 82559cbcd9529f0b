/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.overload;

/**
 * A waiting call, as far as a verdict depends on it.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param <R> the type of ranks; a smaller rank is more urgent
 * @param rank the rank of the call
 * @param streaming true if the caller has the beginning of a stream; such a call goes first and is
 *     never rejected
 * @param units the units that the call reserves, above 0
 * @param limits the times by which the call needs its reservation
 * @since 0.1
 */
public record Candidate<R extends Comparable<R>>(
    R rank, boolean streaming, long units, CallLimits limits) {
  /**
   * Validates the units.
   *
   * @throws IllegalArgumentException if the units are not positive
   */
  public Candidate {
    if (units <= 0) {
      throw new IllegalArgumentException(
          "the units of a waiting call are " + units + ": use 1 or more");
    }
  }

  /** Returns where the call stands in the queue if it waits in a group. */
  QueueClass<R> in(WaitGroup group) {
    return new QueueClass<>(streaming, rank, streaming ? WaitGroup.ON_TIME : group);
  }
}
