/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.larkkeel.bench.experiment.bound.UpperBound;
import org.larkkeel.bench.experiment.fake.Cluster;
import org.larkkeel.bench.experiment.fake.Ledger;
import org.larkkeel.bench.experiment.policy.RoutingPolicies;
import org.larkkeel.bench.experiment.scenario.Arrival;
import org.larkkeel.bench.experiment.scenario.Capacity;
import org.larkkeel.bench.experiment.scenario.FaultPlan;
import org.larkkeel.bench.experiment.scenario.Scenario;
import org.larkkeel.bench.experiment.scenario.Traffic;

/**
 * Runs every policy of a scenario at every load with every seed.
 *
 * <p>Invariant: the result depends on the scenario alone, not on the number of threads. Safe for
 * use by several threads.
 *
 * @since 0.1
 */
public final class Experiment {
  /** Reported if a run exceeds the upper bound, which proves the bound wrong. */
  private static final String BEYOND_BOUND = "beyond-bound";

  private final Scenario scenario;
  private final Capacity capacity;

  /**
   * Creates the experiment.
   *
   * @param scenario the scenario to run
   */
  public Experiment(Scenario scenario) {
    this.scenario = scenario;
    this.capacity = Capacity.of(scenario);
  }

  /**
   * Returns the computed capacity.
   *
   * @return the fluid limits
   */
  public Capacity capacity() {
    return capacity;
  }

  /**
   * Runs all combinations of policy, load and seed.
   *
   * @param threads the number of concurrent runs
   * @return one result per policy, load and seed, in the order of the scenario
   */
  public List<RunResult> runAll(int threads) {
    try (ExecutorService executor = Executors.newFixedThreadPool(threads)) {
      List<CompletableFuture<List<RunResult>>> cases = new ArrayList<>();
      for (double load : scenario.loads()) {
        for (long seed : scenario.seeds()) {
          cases.add(CompletableFuture.supplyAsync(() -> runPolicies(load, seed), executor));
        }
      }
      return cases.stream().flatMap(results -> results.join().stream()).toList();
    }
  }

  private List<RunResult> runPolicies(double load, long seed) {
    ImmutableList<Arrival> arrivals =
        Traffic.draw(scenario, load * capacity.completionsPerSecond(), seed);
    ImmutableList<FaultPlan.Occurrence> faults = FaultPlan.draw(scenario, seed);
    double bound = UpperBound.of(scenario, arrivals, faults);
    List<RunResult> results = new ArrayList<>();
    for (String policy : scenario.policies()) {
      Cluster cluster =
          new Cluster(
              scenario, arrivals, faults, seed, node -> RoutingPolicies.create(policy, node));
      Ledger ledger = cluster.run();
      results.add(result(policy, load, seed, bound, cluster, ledger));
    }
    return results;
  }

  private RunResult result(
      String policy, double load, long seed, double bound, Cluster cluster, Ledger ledger) {
    int offered = 0;
    int good = 0;
    for (Arrival arrival : ledger.arrivals()) {
      if (!arrival.kind().plain()) {
        offered++;
        good += Measures.isGood(arrival, ledger.outcomeOf(arrival)) ? 1 : 0;
      }
    }
    double seconds = (double) scenario.duration() / Scenario.NANOS_PER_SECOND;
    return new RunResult(
        policy,
        load,
        seed,
        offered,
        good,
        bound,
        Math.min(load, 1) * capacity.completionsPerSecond() * seconds,
        good / seconds,
        ledger.computedTokens(),
        ledger.computedTokens() - ledger.usedTokens(),
        ledger.noSlots(),
        ledger.evictions(),
        cluster.busy().shares(),
        new Measures(scenario, ledger).classes(),
        violations(ledger, good > bound));
  }

  private static Map<String, Integer> violations(Ledger ledger, boolean beyondBound) {
    Map<String, Integer> named = new LinkedHashMap<>();
    ledger
        .violations()
        .forEach(
            (kind, count) ->
                named.put(kind.name().toLowerCase(Locale.ROOT).replace('_', '-'), count));
    if (beyondBound) {
      named.put(BEYOND_BOUND, 1);
    }
    return named;
  }
}
