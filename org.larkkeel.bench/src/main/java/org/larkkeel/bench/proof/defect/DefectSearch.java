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
 * Looks for a failure among the cells, in an order that meets every kind of cell early. Runs inside
 * the classes with the defect.
 *
 * @since 0.1
 */
public final class DefectSearch {
  private static final int PAIRS = 1_000;
  private static final int THREADS = 4;
  private static final int AT_ONCE = 64;

  private DefectSearch() {}

  /**
   * Finds all cells that fail; meant for the sources as they are.
   *
   * @return the cells
   */
  public static Set<String> failures() {
    Matrix matrix = new Matrix(Matrix.SEED);
    return new MatrixRunner(matrix, THREADS)
        .run(cells(matrix)).stream()
            .filter(result -> !result.held())
            .map(result -> result.cell().toString())
            .collect(ImmutableSet.toImmutableSet());
  }

  /**
   * Finds a failure.
   *
   * @param leftOut cells that say nothing, since they fail without the defect too
   * @return the cell and what it broke; null if all held
   */
  public static String firstFailure(Set<String> leftOut) {
    Matrix matrix;
    try {
      matrix = new Matrix(Matrix.SEED);
    } catch (IllegalStateException e) {
      return e.getMessage();
    }
    List<Cell> cells =
        cells(matrix).stream().filter(cell -> !leftOut.contains(cell.toString())).toList();
    MatrixRunner runner = new MatrixRunner(matrix, THREADS);
    return Lists.partition(cells, AT_ONCE).stream()
        .flatMap(some -> runner.run(some).stream())
        .filter(result -> !result.held())
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
