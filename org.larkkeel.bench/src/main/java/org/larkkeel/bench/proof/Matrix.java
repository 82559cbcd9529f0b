/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.proof;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.larkkeel.bench.proof.world.Fault;
import org.larkkeel.bench.proof.world.Injection;
import org.larkkeel.bench.proof.world.InjectionPoint;

/**
 * The fault matrix: every fault at every step of every scenario, and a sample of pairs of faults.
 *
 * <p>The steps of a scenario are those that it reaches without faults. Immutable once created and
 * safe for use by several threads; each run has its own simulated cluster.
 *
 * @since 0.1
 */
public final class Matrix {
  /** The seed of the runs in CI and on the results page. */
  public static final long SEED = 20_261_202;

  private final long seed;
  private final Map<Scenario, ImmutableSet<InjectionPoint>> points = new EnumMap<>(Scenario.class);

  /**
   * The result of a cell.
   *
   * @param cell the cell
   * @param violations the broken promises; empty if all held
   */
  public record Result(Cell cell, ImmutableList<Violation> violations) {
    /**
     * Returns whether all promises held.
     *
     * @return true if so
     */
    public boolean passed() {
      return violations.isEmpty();
    }
  }

  /**
   * Creates a matrix by running every scenario once without faults.
   *
   * @param seed the seed of all runs
   * @throws IllegalStateException if a scenario breaks a promise without any fault
   */
  public Matrix(long seed) {
    this.seed = seed;
    for (Scenario scenario : Scenario.values()) {
      Run run = Run.execute(scenario, ImmutableList.of(), seed);
      if (!run.violations().isEmpty()) {
        throw new IllegalStateException(scenario.title() + " without a fault: " + run.violations());
      }
      run.reachedPoints().forEach(point -> FaultTable.moments(point.step()));
      points.put(scenario, run.reachedPoints());
    }
  }

  /**
   * Returns the injection points of a scenario.
   *
   * @param scenario the scenario
   * @return the points that the scenario reaches without faults
   */
  public ImmutableSet<InjectionPoint> points(Scenario scenario) {
    return points.get(scenario);
  }

  /**
   * Returns all cells with one fault.
   *
   * @return the cells, in a fixed order
   */
  public ImmutableList<Cell> singles() {
    ImmutableList.Builder<Cell> cells = ImmutableList.builder();
    for (Scenario scenario : Scenario.values()) {
      for (Injection injection : injections(scenario)) {
        cells.add(new Cell(scenario, ImmutableList.of(injection)));
      }
    }
    return cells.build();
  }

  /**
   * Returns cells with two faults, chosen at random by the seed.
   *
   * @param count the number of cells
   * @return the cells
   */
  public ImmutableList<Cell> pairs(int count) {
    SplittableRandom random = new SplittableRandom(seed);
    Scenario[] scenarios = Scenario.values();
    ImmutableList.Builder<Cell> cells = ImmutableList.builder();
    for (int i = 0; i < count; i++) {
      Scenario scenario = scenarios[i % scenarios.length];
      List<Injection> all = injections(scenario);
      Injection first = all.get(random.nextInt(all.size()));
      Injection second = all.get(random.nextInt(all.size()));
      cells.add(new Cell(scenario, ImmutableList.of(first, second)));
    }
    return cells.build();
  }

  /**
   * Runs a cell.
   *
   * @param cell the cell
   * @return the result
   * @throws IllegalStateException if the cell has one fault and its step was not reached
   */
  public Result run(Cell cell) {
    Run run = Run.execute(cell.scenario(), cell.injections(), seed);
    ImmutableList.Builder<Violation> violations = ImmutableList.builder();
    violations.addAll(run.violations());
    if (!run.allInjected() && cell.injections().size() == 1) {
      throw new IllegalStateException("the step was not reached: " + cell);
    }
    return new Result(cell, violations.build());
  }

  private List<Injection> injections(Scenario scenario) {
    List<Injection> all = new ArrayList<>();
    for (InjectionPoint point : points.get(scenario)) {
      for (Fault fault : Fault.values()) {
        boolean hasMoment = FaultTable.moments(point.step()).contains(point.moment());
        if (hasMoment && FaultTable.exemption(scenario, fault).isEmpty()) {
          all.add(new Injection(point, fault));
        }
      }
    }
    return all;
  }
}
