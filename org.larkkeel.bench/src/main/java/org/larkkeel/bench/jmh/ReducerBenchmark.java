/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.jmh;

import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import org.larkkeel.effect.Effect;
import org.larkkeel.effect.EffectSink;
import org.larkkeel.event.Event;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.router.Router;
import org.larkkeel.router.RouterSettings;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OperationsPerInvocation;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/**
 * Measures the throughput of the router's reducer. A completion takes five events from its arrival
 * to its last token, while other completions decode.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.Throughput)
@OutputTimeUnit(TimeUnit.SECONDS)
public class ReducerBenchmark {
  private static final int EVENTS = 5;
  private static final long STEP_NANOS = 100_000;
  private static final long KV_BYTES = 1_000_000;
  private static final int TOKENS = 100;

  /** The number of upstreams. */
  @Param({"6", "600"})
  public int upstreams;

  private final ArrayDeque<AttemptId> decoding = new ArrayDeque<>();
  private final EffectSink sink = this::onEffect;
  private Router router;
  private long now;
  private long requests;
  private AttemptId lastAttempt;

  /** Creates a router and fills about half of the decode slots. */
  @Setup
  public void fill() {
    router = new Router(RouterSettings.defaults(), 1);
    router.apply(
        new Event.ConfigurationAccepted(now, BenchConfigurations.configuration(upstreams, 1)),
        sink);
    for (int i = 0; i < 5 * upstreams; i++) {
      startCompletion();
    }
  }

  /** Starts one completion and ends the oldest one. */
  @Benchmark
  @OperationsPerInvocation(EVENTS)
  public void completion() {
    startCompletion();
    AttemptId oldest = decoding.pollFirst();
    router.apply(new Event.DecodeDone(now, oldest, TOKENS), sink);
  }

  private void startCompletion() {
    now += STEP_NANOS;
    requests++;
    router.apply(new Event.RequestArrived(now, BenchConfigurations.call(requests)), sink);
    router.apply(new Event.PrefillDone(now, lastAttempt, KV_BYTES, 0), sink);
    router.apply(new Event.TransferDone(now, lastAttempt), sink);
    router.apply(new Event.FirstToken(now, lastAttempt), sink);
    decoding.addLast(lastAttempt);
  }

  private void onEffect(Effect effect) {
    switch (effect) {
      case Effect.StartPrefill start -> lastAttempt = start.attempt();
      case Effect.StartTransfer start -> lastAttempt = start.attempt();
      default -> {}
    }
  }
}
