/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.bound;

/**
 * Work that one request needs of one resource within a window of buckets.
 *
 * <p>Not safe for use by several threads.
 */
final class Part {
  final int request;
  final int from;
  final int to;
  final double work;

  /** The share of the request's value that this part carries. */
  double weight;

  /** The share of the work that was done in the last evaluation. */
  double done;

  Part(int request, int from, int to, double work) {
    this.request = request;
    this.from = from;
    this.to = to;
    this.work = work;
  }

  double density() {
    return weight / work;
  }
}
