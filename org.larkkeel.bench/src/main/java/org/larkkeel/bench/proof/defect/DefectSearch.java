package org.larkkeel.bench.proof.defect;

import com.google.common.collect.Lists;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
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
   * Finds a failure.
   *
   * @return the cell and what it broke; null if all held
   */
  public static String firstFailure() {
    Matrix matrix;
    try {
      matrix = new Matrix(Matrix.SEED);
    } catch (IllegalStateException e) {
      return e.getMessage();
    }
    List<Cell> cells = new ArrayList<>(matrix.singles());
    Collections.shuffle(cells, new Random(Matrix.SEED));
    cells.addAll(matrix.pairs(PAIRS));
    MatrixRunner runner = new MatrixRunner(matrix, THREADS);
    return Lists.partition(cells, AT_ONCE).stream()
        .flatMap(some -> runner.run(some).stream())
        .filter(result -> !result.held())
        .map(result -> result.cell() + " broke " + result.violations().getFirst())
        .findFirst()
        .orElse(null);
  }
}
