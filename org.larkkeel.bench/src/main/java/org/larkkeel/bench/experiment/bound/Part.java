/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.bound;

/**
 * The work that a request needs of one resource within a window of buckets.
 *
 * <p>Not safe for use by several threads.
 */
final class Part {
  final int request;
  final int from;
  final int to;
  final double work;

  /** The share of the request's value that is assigned to this part. */
  double weight;

  /** The share of the work that was done in the last call of {@link Resource#maximize}. */
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
