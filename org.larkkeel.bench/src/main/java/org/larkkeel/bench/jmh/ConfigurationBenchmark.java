/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.jmh;

import java.util.concurrent.TimeUnit;
import org.larkkeel.config.Configuration;
import org.larkkeel.event.Event;
import org.larkkeel.router.Router;
import org.larkkeel.router.RouterSettings;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/**
 * Measures a configuration change: one label of one upstream changes, which removes the upstream
 * from its pools or adds it again.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class ConfigurationBenchmark {
  /** The number of upstreams. */
  @Param({"600", "6000"})
  public int upstreams;

  private Router router;
  private Configuration next;
  private long changes;

  /** Creates a router. */
  @Setup
  public void configure() {
    router = new Router(RouterSettings.defaults(), 1);
    next = BenchConfigurations.configuration(upstreams, 1);
    router.apply(new Event.ConfigurationAccepted(0, next), e -> {});
    router.apply(new Event.RequestArrived(0, BenchConfigurations.call(1)), e -> {});
  }

  /** Prepares the next configuration; this is not measured. */
  @Setup(Level.Invocation)
  public void change() {
    changes++;
    next = BenchConfigurations.relabelled(next, 1, changes % 2 == 0 ? "old" : "none");
  }

  /** Applies the change. */
  @Benchmark
  public void relabel() {
    router.apply(new Event.ConfigurationAccepted(changes, next), e -> {});
  }
}
