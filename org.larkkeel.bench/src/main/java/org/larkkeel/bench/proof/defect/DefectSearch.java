/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.proof.defect;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Lists;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.larkkeel.bench.proof.Cell;
import org.larkkeel.bench.proof.Matrix;
import org.larkkeel.bench.proof.MatrixRunner;

/**
 * Searches the cells for a failure, in shuffled order so that every kind of cell is tried early.
 * {@link DefectRunner} loads this class by reflection together with the patched classes, so its
 * public methods keep their names.
 *
 * <p>Stateless and safe for use by several threads.
 *
 * @since 0.1
 */
public final class DefectSearch {
  private static final int PAIRS = 1_000;
  private static final int THREADS = 4;
  private static final int BATCH_SIZE = 64;

  private DefectSearch() {}

  /**
   * Returns the cells that fail with the unpatched sources.
   *
   * @return the descriptions of the cells
   */
  public static Set<String> failures() {
    Matrix matrix = new Matrix(Matrix.SEED);
    return new MatrixRunner(matrix, THREADS)
        .run(cells(matrix)).stream()
            .filter(result -> !result.passed())
            .map(result -> result.cell().toString())
            .collect(ImmutableSet.toImmutableSet());
  }

  /**
   * Returns the first failure.
   *
   * @param excludedCells the descriptions of cells that fail without the defect too
   * @return the failed cell and its first violation; null if all cells passed
   */
  public static String firstFailure(Set<String> excludedCells) {
    Matrix matrix;
    try {
      matrix = new Matrix(Matrix.SEED);
    } catch (IllegalStateException e) {
      return e.getMessage();
    }
    List<Cell> cells =
        cells(matrix).stream().filter(cell -> !excludedCells.contains(cell.toString())).toList();
    MatrixRunner runner = new MatrixRunner(matrix, THREADS);
    return Lists.partition(cells, BATCH_SIZE).stream()
        .flatMap(batch -> runner.run(batch).stream())
        .filter(result -> !result.passed())
        .map(result -> result.cell() + " broke " + result.violations().getFirst())
        .findFirst()
        .orElse(null);
  }

  private static List<Cell> cells(Matrix matrix) {
    List<Cell> cells = new ArrayList<>(matrix.singles());
    Collections.shuffle(cells, new Random(Matrix.SEED));
    cells.addAll(matrix.pairs(PAIRS));
    return cells;
  }
}
