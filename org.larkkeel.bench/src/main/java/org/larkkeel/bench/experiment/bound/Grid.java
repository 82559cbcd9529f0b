/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.bound;

import java.util.Arrays;

/**
 * A partition of time into buckets, which are narrow while requests arrive and wide afterwards.
 *
 * <p>Immutable and safe for use by several threads.
 */
final class Grid {
  private final long[] edges;

  private Grid(long[] edges) {
    this.edges = edges;
  }

  /** Divides {@code [start, end)} into narrow and {@code [end, last]} into wide buckets. */
  static Grid of(long start, long end, long last, int narrow, int wide) {
    long[] edges = new long[narrow + wide + 1];
    for (int i = 0; i <= narrow; i++) {
      edges[i] = start + (end - start) * i / narrow;
    }
    long remaining = Math.max(wide, last - end);
    for (int i = 1; i <= wide; i++) {
      edges[narrow + i] = end + (long) Math.ceil((double) remaining * i / wide);
    }
    return new Grid(edges);
  }

  int size() {
    return edges.length - 1;
  }

  long edge(int index) {
    return edges[index];
  }

  /** Returns the index of the last bucket edge at or before a time. */
  int floor(long time) {
    int found = Arrays.binarySearch(edges, time);
    return Math.clamp(found >= 0 ? found : -found - 2, 0, size() - 1);
  }

  /** Returns the index of the first bucket edge at or after a time. */
  int ceiling(long time) {
    int found = Arrays.binarySearch(edges, time);
    return Math.clamp(found >= 0 ? found : -found - 1, 1, size());
  }
}
