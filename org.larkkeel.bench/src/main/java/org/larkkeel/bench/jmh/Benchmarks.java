/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.jmh;

import org.openjdk.jmh.profile.GCProfiler;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;

/**
 * Runs the benchmarks in this process on one thread, a few seconds each.
 *
 * <p>Stateless.
 *
 * @since 0.1
 */
public final class Benchmarks {
  private static final int WARM_UPS = 3;
  private static final int MEASUREMENTS = 5;

  private Benchmarks() {}

  /**
   * Runs all benchmarks, or those whose names match the argument.
   *
   * @param args an optional regular expression
   * @throws RunnerException if a benchmark fails
   */
  public static void main(String[] args) throws RunnerException {
    OptionsBuilder options = new OptionsBuilder();
    options
        .include(args.length == 0 ? Benchmarks.class.getPackageName() : args[0])
        .forks(0)
        .threads(1)
        .warmupIterations(WARM_UPS)
        .warmupTime(TimeValue.seconds(1))
        .measurementIterations(MEASUREMENTS)
        .measurementTime(TimeValue.seconds(1))
        .addProfiler(GCProfiler.class);
    new Runner(options.build()).run();
  }
}
