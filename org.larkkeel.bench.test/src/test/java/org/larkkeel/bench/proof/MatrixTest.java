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
import org.larkkeel.bench.proof.world.InjectionPoint;
import org.testng.annotations.Test;

/** Tests of the router under injected faults, by {@link Matrix}. */
public class MatrixTest {
  private static final int THREADS = 2;
  private static final int PAIRS = 500;

  private static List<Result> failed(List<Result> results) {
    return results.stream().filter(r -> !r.passed()).toList();
  }

  /** Checks that {@link FaultTable} covers all types of events and effects. */
  public static class Table {
    /** Fails if a new event or effect has no faults assigned in the table. */
    @Test
    public void everyStepHasFaults() {
      assertEquals(FaultTable.coveredSteps(), ImmutableSet.copyOf(Steps.all()));
    }

    /** Fails if no scenario reaches a step, because no fault would ever be injected there. */
    @Test
    public void everyMomentIsReached() {
      Matrix matrix = new Matrix(Matrix.SEED);
      Set<InjectionPoint> reached =
          Arrays.stream(Scenario.values())
              .flatMap(s -> matrix.points(s).stream())
              .collect(Collectors.toSet());
      for (Class<?> step : Steps.all()) {
        FaultTable.moments(step)
            .forEach(
                m -> assertTrue(reached.contains(new InjectionPoint(step, m)), step + " " + m));
      }
    }
  }

  /** Checks that the promises hold under one and two faults. */
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

    /**
     * Checks that the same seed gives the same result; otherwise a failure could not be reproduced.
     */
    @Test
    public void sameVerdictEveryTime() {
      ImmutableList<Cell> cells = matrix.pairs(20);
      assertFalse(cells.isEmpty());
      cells.forEach(cell -> assertEquals(matrix.run(cell), matrix.run(cell)));
    }
  }
}
