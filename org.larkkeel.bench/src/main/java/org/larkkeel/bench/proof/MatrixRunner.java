/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.proof;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.concurrent.ForkJoinPool;
import org.larkkeel.bench.proof.Matrix.Result;

/**
 * Runs cells on several threads. The verdict does not depend on their number.
 *
 * @since 0.1
 */
public final class MatrixRunner {
  private final Matrix matrix;
  private final int threads;

  /**
   * Creates a runner.
   *
   * @param matrix the matrix
   * @param threads how many cells run at once
   */
  public MatrixRunner(Matrix matrix, int threads) {
    this.matrix = matrix;
    this.threads = threads;
  }

  /**
   * Runs cells.
   *
   * @param cells the cells
   * @return their results, in the same order
   */
  public ImmutableList<Result> run(List<Cell> cells) {
    try (ForkJoinPool pool = new ForkJoinPool(threads)) {
      return pool.submit(
              () ->
                  cells.parallelStream().map(matrix::run).collect(ImmutableList.toImmutableList()))
          .join();
    }
  }
}
