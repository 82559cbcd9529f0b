/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;

/**
 * The runs of one policy at one load, over all seeds.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param policy the policy
 * @param load the load factor
 * @param goodput good completions per second
 * @param ofBound good completions relative to the upper bound
 * @param boundOfFluid the upper bound relative to the fluid limit
 * @param wasted the wasted share of the prefill work
 * @param noSlots the number of transfers refused for lack of a slot
 * @param busyGap the maximum difference of busy shares between generations of one role
 * @param violations the total number of violations by kind
 * @param runs the results of the runs
 * @since 0.1
 */
public record Summary(
    String policy,
    double load,
    Spread goodput,
    Spread ofBound,
    Spread boundOfFluid,
    Spread wasted,
    Spread noSlots,
    Spread busyGap,
    Map<String, Integer> violations,
    List<RunResult> runs) {

  /**
   * Mean and spread over seeds.
   *
   * @param mean the mean
   * @param min the minimum
   * @param max the maximum
   */
  public record Spread(double mean, double min, double max) {
    static Spread of(List<RunResult> runs, ToDoubleFunction<RunResult> value) {
      double[] values = runs.stream().mapToDouble(value).toArray();
      double sum = 0;
      double min = Double.MAX_VALUE;
      double max = -Double.MAX_VALUE;
      for (double v : values) {
        sum += v;
        min = Math.min(min, v);
        max = Math.max(max, v);
      }
      return new Spread(sum / values.length, min, max);
    }
  }

  private record Key(String policy, double load) {}

  /**
   * Groups runs by policy and load.
   *
   * @param results the runs
   * @return one summary per policy and load, in the order of the runs
   */
  public static List<Summary> of(List<RunResult> results) {
    Map<Key, List<RunResult>> groups = new LinkedHashMap<>();
    for (RunResult result : results) {
      groups
          .computeIfAbsent(new Key(result.policy(), result.load()), k -> new ArrayList<>())
          .add(result);
    }
    List<Summary> summaries = new ArrayList<>();
    groups.forEach((key, runs) -> summaries.add(summarize(key, runs)));
    return summaries;
  }

  private static Summary summarize(Key key, List<RunResult> runs) {
    Map<String, Integer> violations = new TreeMap<>();
    runs.forEach(r -> r.violations().forEach((kind, n) -> violations.merge(kind, n, Integer::sum)));
    return new Summary(
        key.policy,
        key.load,
        Spread.of(runs, RunResult::goodput),
        Spread.of(runs, RunResult::ofBound),
        Spread.of(runs, r -> r.fluid() == 0 ? 0 : r.bound() / r.fluid()),
        Spread.of(runs, RunResult::wastedShare),
        Spread.of(runs, RunResult::noSlots),
        Spread.of(runs, Summary::maxBusyGap),
        violations,
        runs);
  }

  private static double maxBusyGap(RunResult run) {
    Map<String, Double> minByRole = new TreeMap<>();
    Map<String, Double> maxByRole = new TreeMap<>();
    run.busy()
        .forEach(
            (key, share) -> {
              String role = key.substring(0, key.indexOf('/'));
              minByRole.merge(role, share, Math::min);
              maxByRole.merge(role, share, Math::max);
            });
    double gap = 0;
    for (Map.Entry<String, Double> entry : maxByRole.entrySet()) {
      gap = Math.max(gap, entry.getValue() - minByRole.get(entry.getKey()));
    }
    return gap;
  }
}
