/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment;

import com.google.common.collect.ImmutableList;
import org.larkkeel.bench.experiment.fake.Cluster;
import org.larkkeel.bench.experiment.fake.Ledger;
import org.larkkeel.bench.experiment.policy.RoutingPolicy;
import org.larkkeel.bench.experiment.scenario.Arrival;
import org.larkkeel.bench.experiment.scenario.FaultPlan;
import org.larkkeel.bench.experiment.scenario.Scenario;
import org.larkkeel.bench.experiment.scenario.ScenarioReader;
import org.larkkeel.bench.experiment.scenario.Traffic;

/** Builds and runs small scenarios for tests. */
public final class Scenarios {
  private Scenarios() {}

  /** Returns a scenario with the given upstreams, classes and faults in the format of a file. */
  public static Scenario of(String seconds, String upstreams, String classes, String faults) {
    String text =
        """
        {"name": "t", "seeds": [1], "loads": [1], "durationSeconds": %s,
         "policies": ["naive-random"], "kvBytesPerToken": 1000,
         "upstreams": [%s], "classes": [%s], "faults": [%s]}
        """
            .formatted(seconds, upstreams, classes, faults);
    return ScenarioReader.read(text, name -> true);
  }

  /** Returns a group of prefill engines as JSON. */
  public static String prefill(String name, int count, double tokensPerSecond) {
    String text =
        """
        {"name": "%s", "count": %d, "role": "prefill", "dataCentres": ["a"],
         "tokensPerSecond": %s, "linkBytesPerSecond": 1e8}
        """;
    return text.formatted(name, count, tokensPerSecond);
  }

  /** Returns a group of decode engines as JSON. */
  public static String decode(
      String name, int count, int slots, double baseMillis, double perRequestMillis) {
    String text =
        """
        {"name": "%s", "count": %d, "role": "decode", "dataCentres": ["a"], "slots": %d,
         "stepBaseMillis": %s, "stepPerRequestMillis": %s, "linkBytesPerSecond": 1e8}
        """;
    return text.formatted(name, count, slots, baseMillis, perRequestMillis);
  }

  /** Returns a group of services as JSON. */
  public static String service(int count, double millis) {
    String text =
        """
        {"name": "s", "count": %d, "role": "service", "dataCentres": ["a"], "slots": 4,
         "serviceMillis": {"fixed": %s}}
        """;
    return text.formatted(count, millis);
  }

  /** Returns a class of completions as JSON; {@code more} is appended unchanged. */
  public static String completions(String prompt, String output, int firstMillis, String more) {
    String text =
        """
        {"name": "c", "share": 1, "promptTokens": %s, "outputTokens": %s,
         "firstTokenMillis": %d, "betweenTokensMillis": 50, "deadlineMillis": 20000%s}
        """;
    return text.formatted(prompt, output, firstMillis, more);
  }

  /** Runs one policy with the traffic and the faults of a scenario. */
  public static Ledger run(Scenario scenario, double perSecond, long seed, RoutingPolicy policy) {
    ImmutableList<Arrival> arrivals = Traffic.draw(scenario, perSecond, seed);
    return new Cluster(scenario, arrivals, FaultPlan.draw(scenario, seed), seed, s -> policy).run();
  }

  /** Returns the number of completions finished within both targets. */
  public static long good(Ledger ledger) {
    return ledger.arrivals().stream()
        .filter(a -> !a.kind().plain() && Measures.isGood(a, ledger.outcomeOf(a)))
        .count();
  }
}
