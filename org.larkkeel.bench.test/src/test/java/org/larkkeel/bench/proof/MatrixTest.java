/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.proof;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.larkkeel.bench.proof.Matrix.Result;
import org.larkkeel.bench.proof.world.Place;
import org.testng.annotations.Test;

/** The proof under failure, as it runs in CI. */
public class MatrixTest {
  private static final int THREADS = 2;
  private static final int PAIRS = 500;

  private static List<Result> failed(List<Result> results) {
    return results.stream().filter(r -> !r.held()).toList();
  }

  /** The table of faults follows the sealed types. */
  public static class Table {
    /** A new event or effect without faults fails here. */
    @Test
    public void everyStepHasFaults() {
      assertEquals(FaultTable.assigned(), ImmutableSet.copyOf(Steps.all()));
    }

    /** A step that no scenario reaches would be proven by nothing. */
    @Test
    public void everyMomentIsReached() {
      Matrix matrix = new Matrix(Matrix.SEED);
      Set<Place> reached =
          Arrays.stream(Scenario.values())
              .flatMap(s -> matrix.places(s).stream())
              .collect(Collectors.toSet());
      for (Class<?> step : Steps.all()) {
        FaultTable.moments(step)
            .forEach(m -> assertTrue(reached.contains(new Place(step, m)), step + " " + m));
      }
    }
  }

  /** Every fault at every step. */
  public static class Cells {
    private final Matrix matrix = new Matrix(Matrix.SEED);

    @Test
    public void everyFaultAtEveryStep() {
      assertEquals(failed(new MatrixRunner(matrix, THREADS).run(matrix.singles())), List.of());
    }

    @Test
    public void pairsOfFaults() {
      assertEquals(failed(new MatrixRunner(matrix, THREADS).run(matrix.pairs(PAIRS))), List.of());
    }

    /** The same seed gives the same run, or a failure could not be looked into. */
    @Test
    public void sameVerdictEveryTime() {
      ImmutableList<Cell> cells = matrix.pairs(20);
      assertFalse(cells.isEmpty());
      cells.forEach(cell -> assertEquals(matrix.run(cell), matrix.run(cell)));
    }
  }
}
