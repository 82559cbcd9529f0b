/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.larkkeel.bench.experiment.RunResult.ClassResult;
import org.larkkeel.bench.experiment.RunResult.Percentiles;
import org.larkkeel.bench.experiment.fake.Ledger;
import org.larkkeel.bench.experiment.fake.Ledger.End;
import org.larkkeel.bench.experiment.fake.Ledger.Outcome;
import org.larkkeel.bench.experiment.scenario.Arrival;
import org.larkkeel.bench.experiment.scenario.Scenario;

/**
 * Turns the ledger of a run into measures.
 *
 * <p>Not safe for use by several threads.
 */
final class Measures {
  private static final int DIGITS = 3;
  private static final double MICROS_A_MILLI = 1000;
  private static final long NANOS_A_MICRO = 1000;

  private final Map<String, Tally> tallies = new LinkedHashMap<>();

  private static final class Tally {
    private int offered;
    private int good;
    private int late;
    private int left;
    private final Map<String, Integer> refused = new TreeMap<>();
    private final Histogram first = new Histogram(DIGITS);
    private final Histogram between = new Histogram(DIGITS);
  }

  Measures(Scenario scenario, Ledger ledger) {
    for (Scenario.RequestClass kind : scenario.classes()) {
      tallies.put(kind.name(), new Tally());
    }
    for (Arrival arrival : ledger.arrivals()) {
      count(tallies.get(arrival.kind().name()), arrival, ledger.of(arrival));
    }
  }

  /** Whether a request was finished within all of its targets. */
  static boolean good(Arrival arrival, Outcome outcome) {
    return outcome.end() == End.ANSWERED
        && first(arrival, outcome) <= arrival.kind().firstToken()
        && between(arrival, outcome) <= arrival.kind().betweenTokens()
        && outcome.endAt() - arrival.at() <= arrival.kind().deadline();
  }

  Map<String, ClassResult> classes() {
    Map<String, ClassResult> results = new LinkedHashMap<>();
    tallies.forEach(
        (name, t) ->
            results.put(
                name,
                new ClassResult(
                    t.offered,
                    t.good,
                    t.late,
                    t.refused,
                    t.left,
                    percentiles(t.first),
                    percentiles(t.between))));
    return results;
  }

  private static void count(Tally tally, Arrival arrival, Outcome outcome) {
    tally.offered++;
    switch (outcome.end()) {
      case LEFT -> tally.left++;
      case REFUSED -> tally.refused.merge(outcome.error().slug(), 1, Integer::sum);
      case ANSWERED -> {
        tally.good += good(arrival, outcome) ? 1 : 0;
        tally.late += good(arrival, outcome) ? 0 : 1;
        tally.first.recordValue(first(arrival, outcome) / NANOS_A_MICRO);
        if (!arrival.kind().plain()) {
          tally.between.recordValue((long) between(arrival, outcome) / NANOS_A_MICRO);
        }
      }
      default -> {}
    }
  }

  private static long first(Arrival arrival, Outcome outcome) {
    long at = arrival.kind().plain() ? outcome.endAt() : outcome.firstAt();
    return at - arrival.at();
  }

  private static double between(Arrival arrival, Outcome outcome) {
    if (arrival.kind().plain() || arrival.output() < 2) {
      return 0;
    }
    return (double) (outcome.endAt() - outcome.firstAt()) / (arrival.output() - 1);
  }

  private static Percentiles percentiles(Histogram micros) {
    return new Percentiles(
        micros.getValueAtPercentile(50) / MICROS_A_MILLI,
        micros.getValueAtPercentile(95) / MICROS_A_MILLI,
        micros.getValueAtPercentile(99) / MICROS_A_MILLI);
  }
}
