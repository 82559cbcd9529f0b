/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.fleet;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.stream.LongStream;

/**
 * Runs a fleet scenario with several seeds and prints the results.
 *
 * <p>Invariant: the result depends on the scenario and the seeds alone, not on the number of
 * threads. Safe for use by several threads.
 *
 * @since 0.1
 */
public final class FleetExperiment {
  private final FleetScenario scenario;
  private final int seeds;

  /**
   * Creates an experiment.
   *
   * @param scenario the scenario to run
   * @param seeds the number of runs; their seeds count up from 1
   */
  public FleetExperiment(FleetScenario scenario, int seeds) {
    this.scenario = scenario;
    this.seeds = seeds;
  }

  /**
   * Runs the scenario once per seed.
   *
   * @param threads the number of concurrent runs
   * @return one result per seed, in the order of the seeds
   */
  public List<FleetResult> runAll(int threads) {
    try (ExecutorService executor = Executors.newFixedThreadPool(threads)) {
      List<CompletableFuture<FleetResult>> runs =
          LongStream.rangeClosed(1, seeds)
              .mapToObj(
                  seed ->
                      CompletableFuture.supplyAsync(
                          () -> new FleetModel(scenario, seed).run(), executor))
              .toList();
      return runs.stream().map(CompletableFuture::join).toList();
    }
  }

  /** Prints one line per seed and kind of call, then one per seed on engines and messages. */
  public static void print(List<FleetResult> results, PrintStream out) {
    out.println("seed kind calls in_time late refused failed left first_p50_ms first_p99_ms");
    for (FleetResult r : results) {
      for (FleetResult.Kind k : r.kinds()) {
        out.println(
            String.format(
                Locale.ROOT,
                "%d %s %d %.3f %.3f %.3f %.3f %.3f %.0f %.0f",
                r.seed(),
                k.name(),
                k.calls(),
                k.share(CallOutcome.IN_TIME),
                k.share(CallOutcome.LATE),
                k.share(CallOutcome.REFUSED),
                k.share(CallOutcome.FAILED),
                k.share(CallOutcome.LEFT),
                k.medianMillis(),
                k.p99Millis()));
      }
    }
    out.println(
        "seed worth tokens_read wasted wasted_reported preempted declined fullest"
            + " datagrams_per_node_s datagrams_most_s bytes_per_node_s bytes_most_s"
            + " limit_use tokens_by_cause");
    for (FleetResult r : results) {
      out.println(
          String.format(
              Locale.ROOT,
              "%d %.3f %d %.4f %d %d %d %.2f %.1f %.1f %.0f %.0f %.2f %s",
              r.seed(),
              r.worth(),
              r.prefilledTokens(),
              r.wastedShare(),
              r.reportedWastedTokens(),
              r.preemptions(),
              r.declined(),
              r.maxMemoryShare(),
              r.datagrams().mean(),
              r.datagrams().max(),
              r.bytes().mean(),
              r.bytes().max(),
              r.maxLimitUsage(),
              r.tokens()));
    }
    double worth = results.stream().mapToDouble(FleetResult::worth).average().orElse(0);
    double wasted = results.stream().mapToDouble(FleetResult::wastedShare).average().orElse(0);
    out.println(
        String.format(
            Locale.ROOT, "mean worth=%.3f wasted=%.4f seeds=%d", worth, wasted, results.size()));
  }
}
