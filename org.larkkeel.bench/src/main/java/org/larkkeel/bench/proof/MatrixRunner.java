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
 * Runs the cells of a matrix on several threads. The results don't depend on the number of threads.
 *
 * <p>Immutable and safe for use by several threads.
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
   * @param threads the number of cells that run at once
   */
  public MatrixRunner(Matrix matrix, int threads) {
    this.matrix = matrix;
    this.threads = threads;
  }

  /**
   * Runs cells.
   *
   * @param cells the cells
   * @return the results, in the order of the cells
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
