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
 * Computes the results per request class from the ledger of a run.
 *
 * <p>Not safe for use by several threads.
 */
final class Measures {
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final double MICROS_PER_MILLI = 1000;
  private static final long NANOS_PER_MICRO = 1000;

  private final Map<String, Tally> tallies = new LinkedHashMap<>();

  private static final class Tally {
    private int offered;
    private int good;
    private int late;
    private int left;
    private final Map<String, Integer> refused = new TreeMap<>();
    private final Histogram first = new Histogram(SIGNIFICANT_DIGITS);
    private final Histogram between = new Histogram(SIGNIFICANT_DIGITS);
  }

  Measures(Scenario scenario, Ledger ledger) {
    for (Scenario.RequestClass kind : scenario.classes()) {
      tallies.put(kind.name(), new Tally());
    }
    for (Arrival arrival : ledger.arrivals()) {
      count(tallies.get(arrival.kind().name()), arrival, ledger.outcomeOf(arrival));
    }
  }

  /** Returns whether a request was answered within all of its targets. */
  static boolean isGood(Arrival arrival, Outcome outcome) {
    return outcome.end() == End.ANSWERED
        && firstNanos(arrival, outcome) <= arrival.kind().firstToken()
        && betweenNanos(arrival, outcome) <= arrival.kind().betweenTokens()
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
        tally.good += isGood(arrival, outcome) ? 1 : 0;
        tally.late += isGood(arrival, outcome) ? 0 : 1;
        tally.first.recordValue(firstNanos(arrival, outcome) / NANOS_PER_MICRO);
        if (!arrival.kind().plain()) {
          tally.between.recordValue((long) betweenNanos(arrival, outcome) / NANOS_PER_MICRO);
        }
      }
      default -> {}
    }
  }

  private static long firstNanos(Arrival arrival, Outcome outcome) {
    long at = arrival.kind().plain() ? outcome.endAt() : outcome.firstAt();
    return at - arrival.at();
  }

  private static double betweenNanos(Arrival arrival, Outcome outcome) {
    if (arrival.kind().plain() || arrival.output() < 2) {
      return 0;
    }
    return (double) (outcome.endAt() - outcome.firstAt()) / (arrival.output() - 1);
  }

  private static Percentiles percentiles(Histogram micros) {
    return new Percentiles(
        micros.getValueAtPercentile(50) / MICROS_PER_MILLI,
        micros.getValueAtPercentile(95) / MICROS_PER_MILLI,
        micros.getValueAtPercentile(99) / MICROS_PER_MILLI);
  }
}
