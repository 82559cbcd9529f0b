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
import org.larkkeel.bench.proof.world.Place;

/**
 * Every fault at every step of every scenario, and pairs of them.
 *
 * <p>The steps of a scenario are those that it reaches without faults. Immutable once created; runs
 * are independent and may be spread over threads.
 *
 * @since 0.1
 */
public final class Matrix {
  /** The seed of the runs in CI and on the page. */
  public static final long SEED = 20_261_202;

  private final long seed;
  private final Map<Scenario, ImmutableSet<Place>> places = new EnumMap<>(Scenario.class);

  /**
   * What came of a cell.
   *
   * @param cell the cell
   * @param violations promises broken; empty if all held
   */
  public record Result(Cell cell, ImmutableList<Violation> violations) {
    /**
     * Tells whether all promises held.
     *
     * @return true if so
     */
    public boolean held() {
      return violations.isEmpty();
    }
  }

  /**
   * Finds the steps of all scenarios.
   *
   * @param seed the seed of all runs
   * @throws IllegalStateException if a scenario breaks a promise without any fault
   */
  public Matrix(long seed) {
    this.seed = seed;
    for (Scenario scenario : Scenario.values()) {
      Run run = Run.of(scenario, ImmutableList.of(), seed);
      if (!run.violations().isEmpty()) {
        throw new IllegalStateException(scenario.title() + " without a fault: " + run.violations());
      }
      run.places().forEach(place -> FaultTable.moments(place.step()));
      places.put(scenario, run.places());
    }
  }

  /**
   * The places of a scenario.
   *
   * @param scenario the scenario
   * @return the places that it reaches without faults
   */
  public ImmutableSet<Place> places(Scenario scenario) {
    return places.get(scenario);
  }

  /**
   * All cells with one fault.
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
   * Cells with two faults, chosen by the seed.
   *
   * @param count how many
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
   * @return what came of it
   */
  public Result run(Cell cell) {
    Run run = Run.of(cell.scenario(), cell.injections(), seed);
    ImmutableList.Builder<Violation> violations = ImmutableList.builder();
    violations.addAll(run.violations());
    if (!run.injected() && cell.injections().size() == 1) {
      throw new IllegalStateException("the step was not reached: " + cell);
    }
    return new Result(cell, violations.build());
  }

  private List<Injection> injections(Scenario scenario) {
    List<Injection> all = new ArrayList<>();
    for (Place place : places.get(scenario)) {
      for (Fault fault : Fault.values()) {
        boolean counts = FaultTable.moments(place.step()).contains(place.moment());
        if (counts && FaultTable.exemption(scenario, fault).isEmpty()) {
          all.add(new Injection(place, fault));
        }
      }
    }
    return all;
  }
}
