/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment;

import com.google.common.collect.ImmutableList;
import org.larkkeel.bench.experiment.fake.Cluster;
import org.larkkeel.bench.experiment.fake.Ledger;
import org.larkkeel.bench.experiment.policy.Subject;
import org.larkkeel.bench.experiment.scenario.Arrival;
import org.larkkeel.bench.experiment.scenario.FaultPlan;
import org.larkkeel.bench.experiment.scenario.Scenario;
import org.larkkeel.bench.experiment.scenario.ScenarioReader;
import org.larkkeel.bench.experiment.scenario.Traffic;

/** Small scenarios for tests. */
public final class Scenarios {
  private Scenarios() {}

  /** A scenario from its upstreams, classes and faults, written as in a file. */
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

  /** Prefill engines. */
  public static String prefill(String name, int count, double tokensPerSecond) {
    String text =
        """
        {"name": "%s", "count": %d, "role": "prefill", "dataCentres": ["a"],
         "tokensPerSecond": %s, "linkBytesPerSecond": 1e8}
        """;
    return text.formatted(name, count, tokensPerSecond);
  }

  /** Decode engines. */
  public static String decode(String name, int count, int slots, double base, double each) {
    String text =
        """
        {"name": "%s", "count": %d, "role": "decode", "dataCentres": ["a"], "slots": %d,
         "stepBaseMillis": %s, "stepPerRequestMillis": %s, "linkBytesPerSecond": 1e8}
        """;
    return text.formatted(name, count, slots, base, each);
  }

  /** Services. */
  public static String service(int count, double millis) {
    String text =
        """
        {"name": "s", "count": %d, "role": "service", "dataCentres": ["a"], "slots": 4,
         "serviceMillis": {"fixed": %s}}
        """;
    return text.formatted(count, millis);
  }

  /** A class of completions; {@code more} is appended as it stands. */
  public static String completions(String prompt, String output, int firstMillis, String more) {
    String text =
        """
        {"name": "c", "share": 1, "promptTokens": %s, "outputTokens": %s,
         "firstTokenMillis": %d, "betweenTokensMillis": 50, "deadlineMillis": 20000%s}
        """;
    return text.formatted(prompt, output, firstMillis, more);
  }

  /** Runs one policy over the traffic of a scenario. */
  public static Ledger run(Scenario scenario, double perSecond, long seed, Subject subject) {
    ImmutableList<Arrival> arrivals = Traffic.draw(scenario, perSecond, seed);
    return new Cluster(scenario, arrivals, FaultPlan.draw(scenario, seed), seed, s -> subject)
        .run();
  }

  /** Completions finished within both targets. */
  public static long good(Ledger ledger) {
    return ledger.arrivals().stream()
        .filter(a -> !a.kind().plain() && Measures.good(a, ledger.of(a)))
        .count();
  }
}
