/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.overload;

import java.util.TreeMap;

/**
 * The units of waiting calls by their place in the queue.
 *
 * <p>Holds one entry for each class of calls that wait, so that its size does not depend on the
 * number of calls. Not thread-safe.
 */
final class WaitingUnits<R extends Comparable<R>> {
  private final TreeMap<QueueClass<R>, Long> units = new TreeMap<>(QueueClass.order());

  void add(QueueClass<R> queueClass, long added) {
    units.merge(queueClass, added, Long::sum);
  }

  /** Removes units that were added before. */
  void remove(QueueClass<R> queueClass, long removed) {
    units.computeIfPresent(queueClass, (c, sum) -> sum <= removed ? null : sum - removed);
  }

  /** Returns the units of all calls up to the last one of a class. */
  long upTo(QueueClass<R> queueClass) {
    long sum = 0;
    for (long u : units.headMap(queueClass, true).values()) {
      sum += u;
    }
    return sum;
  }
}
