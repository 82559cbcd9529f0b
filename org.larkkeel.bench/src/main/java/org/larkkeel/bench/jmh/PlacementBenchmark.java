/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.jmh;

import java.util.concurrent.TimeUnit;
import org.larkkeel.config.Configuration;
import org.larkkeel.router.RouterSettings;
import org.larkkeel.router.internal.Choice;
import org.larkkeel.router.internal.Core;
import org.larkkeel.router.internal.RequestState;
import org.larkkeel.router.internal.Route;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/**
 * Measures the choice of a pair of engines for a request.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class PlacementBenchmark {
  /** The number of upstreams. */
  @Param({"6", "60", "600", "6000"})
  public int upstreams;

  private Core core;
  private RequestState request;

  /** Creates a router with idle engines. */
  @Setup
  public void configure() {
    core = new Core(RouterSettings.defaults(), 1);
    Configuration configuration = BenchConfigurations.configuration(upstreams, 1);
    core.upstreams.apply(configuration);
    core.routes.apply(configuration);
    Route route =
        core.routes
            .route(BenchConfigurations.call(1), configuration.rules().values().iterator().next())
            .orElseThrow();
    request = new RequestState(BenchConfigurations.call(1), route, 0, () -> {});
  }

  /**
   * Chooses a prefill and a decode engine.
   *
   * @return the choice
   */
  @Benchmark
  public Choice choose() {
    return core.placement.choose(request);
  }
}
