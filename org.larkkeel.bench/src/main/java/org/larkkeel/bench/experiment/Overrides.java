/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import org.larkkeel.bench.experiment.policy.RoutingPolicies;
import org.larkkeel.bench.experiment.scenario.Scenario;
import org.larkkeel.bench.experiment.scenario.ScenarioException;

/**
 * Replaces parts of a scenario by command line options.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class Overrides {
  private static final Splitter COMMAS = Splitter.on(',').trimResults().omitEmptyStrings();

  private Overrides() {}

  static Scenario apply(Scenario scenario, String policies, String loads, int seeds) {
    return new Scenario(
        scenario.name(),
        seeds <= 0 ? scenario.seeds() : firstSeeds(scenario.seeds(), seeds),
        loads == null ? scenario.loads() : parseLoads(loads),
        scenario.duration(),
        scenario.nodes(),
        scenario.sharedSlots(),
        policies == null ? scenario.policies() : parsePolicies(policies),
        scenario.kvBytesPerToken(),
        scenario.platform(),
        scenario.arrivals(),
        scenario.upstreams(),
        scenario.classes(),
        scenario.faults());
  }

  private static ImmutableList<Long> firstSeeds(ImmutableList<Long> seeds, int count) {
    return seeds.subList(0, Math.min(count, seeds.size()));
  }

  private static ImmutableList<String> parsePolicies(String text) {
    ImmutableList<String> names = ImmutableList.copyOf(COMMAS.split(text));
    for (String name : names) {
      if (!RoutingPolicies.names().contains(name)) {
        throw new ScenarioException(
            "--policies has \"" + name + "\": use " + String.join(", ", RoutingPolicies.names()));
      }
    }
    return names;
  }

  private static ImmutableList<Double> parseLoads(String text) {
    ImmutableList.Builder<Double> loads = ImmutableList.builder();
    for (String load : COMMAS.split(text)) {
      try {
        loads.add(Double.valueOf(load));
      } catch (NumberFormatException e) {
        throw new ScenarioException("--loads has \"" + load + "\": write numbers like 0.8,1.0");
      }
    }
    return loads.build();
  }
}
