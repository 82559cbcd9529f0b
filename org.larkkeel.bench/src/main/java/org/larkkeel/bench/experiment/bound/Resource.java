/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.bound;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * One kind of capacity over time, which can be divided in any way among the parts that need it.
 *
 * <p>The feasible amounts of work per part form a polymatroid: a vector of amounts is feasible if
 * and only if, for every interval, the parts with windows inside the interval need at most its
 * capacity. A greedy algorithm in the order of value density is therefore optimal. Not safe for use
 * by several threads.
 */
final class Resource {
  private static final double EPSILON = 1e-12;

  private final double[] cumulativeCapacity;
  private final double[][] slack;
  final List<Part> parts = new ArrayList<>();

  /** Creates a resource with a capacity for each bucket. */
  Resource(double[] capacity) {
    cumulativeCapacity = new double[capacity.length + 1];
    for (int i = 0; i < capacity.length; i++) {
      cumulativeCapacity[i + 1] = cumulativeCapacity[i] + capacity[i];
    }
    slack = new double[capacity.length][capacity.length + 1];
  }

  /** Returns the maximum sum of weight times share done, and sets the share done of each part. */
  double maximize() {
    for (int from = 0; from < slack.length; from++) {
      for (int to = from + 1; to <= slack.length; to++) {
        slack[from][to] = cumulativeCapacity[to] - cumulativeCapacity[from];
      }
    }
    List<Part> order = new ArrayList<>(parts);
    order.sort(Comparator.comparingDouble(Part::density).reversed());
    double value = 0;
    for (Part part : order) {
      part.done = Math.min(1, availableWork(part) / part.work);
      if (part.weight > 0 && part.done > EPSILON) {
        allocate(part, part.done * part.work);
        value += part.weight * part.done;
      }
    }
    return value;
  }

  private double availableWork(Part part) {
    double available = part.work;
    for (int from = part.from; from >= 0; from--) {
      double[] row = slack[from];
      for (int to = part.to; to < row.length; to++) {
        available = Math.min(available, row[to]);
      }
      if (available <= EPSILON) {
        return 0;
      }
    }
    return available;
  }

  private void allocate(Part part, double amount) {
    for (int from = part.from; from >= 0; from--) {
      double[] row = slack[from];
      for (int to = part.to; to < row.length; to++) {
        row[to] -= amount;
      }
    }
  }
}
