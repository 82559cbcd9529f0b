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
 * One kind of capacity over time, shared at will by all parts that need it.
 *
 * <p>What can be done for each part, within its window, is a polymatroid: a vector of amounts is
 * possible exactly if for every interval the parts with windows inside it need no more than the
 * capacity of the interval. A greedy in the order of value density is therefore optimal. Not safe
 * for use by several threads.
 */
final class Resource {
  private static final double NOTHING = 1e-12;

  private final double[] capacityUntil;
  private final double[][] slack;
  final List<Part> parts = new ArrayList<>();

  /** Takes the capacity of each bucket. */
  Resource(double[] capacity) {
    capacityUntil = new double[capacity.length + 1];
    for (int i = 0; i < capacity.length; i++) {
      capacityUntil[i + 1] = capacityUntil[i] + capacity[i];
    }
    slack = new double[capacity.length][capacity.length + 1];
  }

  /** The greatest total of weight times share done; also sets what is done of each part. */
  double best() {
    for (int from = 0; from < slack.length; from++) {
      for (int to = from + 1; to <= slack.length; to++) {
        slack[from][to] = capacityUntil[to] - capacityUntil[from];
      }
    }
    List<Part> order = new ArrayList<>(parts);
    order.sort(Comparator.comparingDouble(Part::density).reversed());
    double value = 0;
    for (Part part : order) {
      part.done = Math.min(1, room(part) / part.work);
      if (part.weight > 0 && part.done > NOTHING) {
        take(part, part.done * part.work);
        value += part.weight * part.done;
      }
    }
    return value;
  }

  private double room(Part part) {
    double room = part.work;
    for (int from = part.from; from >= 0; from--) {
      double[] row = slack[from];
      for (int to = part.to; to < row.length; to++) {
        room = Math.min(room, row[to]);
      }
      if (room <= NOTHING) {
        return 0;
      }
    }
    return room;
  }

  private void take(Part part, double amount) {
    for (int from = part.from; from >= 0; from--) {
      double[] row = slack[from];
      for (int to = part.to; to < row.length; to++) {
        row[to] -= amount;
      }
    }
  }
}
