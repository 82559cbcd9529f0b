/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.metrics;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.larkkeel.effect.Fact;
import org.larkkeel.errors.Slugs;

/**
 * Records facts as metrics.
 *
 * <p>Goodput is the rate of {@code larkkeel.requests.answered} with {@code within_targets=true};
 * wasted prefill is {@code larkkeel.prefill.tokens} with {@code use=wasted}. The number of tag
 * values is bounded by the numbers of rules, upstreams, pools, error kinds and failure causes;
 * nothing is tagged with a request or a workspace. Safe for use by several threads.
 *
 * @since 0.1
 */
public final class FactMeters {
  private static final String PREFIX = "larkkeel.";
  private static final String USE = "use";
  private static final String UPSTREAM = "upstream";
  private static final Duration MIN_EXPECTED = Duration.ofMillis(1);
  private static final Duration MAX_EXPECTED = Duration.ofMinutes(2);

  private final MeterRegistry registry;
  private final AtomicLong revision = new AtomicLong();

  /**
   * Creates the recorder.
   *
   * @param registry the registry that holds the meters
   */
  public FactMeters(MeterRegistry registry) {
    this.registry = registry;
    registry.gauge(PREFIX + "configuration.revision", revision);
  }

  /**
   * Records a fact.
   *
   * @param fact the fact
   */
  public void record(Fact fact) {
    switch (fact) {
      case Fact.Answered f -> recordAnswered(f);
      case Fact.Refused f -> counter("requests.refused", "kind", f.kind().slug()).increment();
      case Fact.Placed f -> counter("attempts.placed", UPSTREAM, f.upstream().value()).increment();
      case Fact.Retried f -> counter("attempts.retried", "cause", Slugs.of(f.cause())).increment();
      case Fact.PrefillWasted f -> counter("prefill.tokens", USE, "wasted").increment(f.tokens());
      case Fact.PrefillUsed f -> counter("prefill.tokens", USE, "used").increment(f.tokens());
      case Fact.Ejected f ->
          counter("upstreams.ejected", UPSTREAM, f.upstream().value()).increment();
      case Fact.Restored f ->
          counter("upstreams.restored", UPSTREAM, f.upstream().value()).increment();
      case Fact.InForce f -> revision.set(f.revision().value());
      case Fact.PoolEmpty f -> counter("pools.empty", "pool", f.pool().value()).increment();
    }
  }

  private void recordAnswered(Fact.Answered f) {
    String rule = f.rule().value();
    String within = Boolean.toString(f.withinTargets());
    counter("requests.answered", "rule", rule, "within_targets", within).increment();
    timer("request.first", rule).record(f.firstNanos(), TimeUnit.NANOSECONDS);
    if (f.tokens() > 0) {
      counter("answer.tokens", "rule", rule).increment(f.tokens());
    }
    if (f.tokens() > 1) {
      timer("request.between", rule).record(f.interTokenNanos(), TimeUnit.NANOSECONDS);
    }
  }

  private Counter counter(String name, String... tags) {
    return registry.counter(PREFIX + name, tags);
  }

  private Timer timer(String name, String rule) {
    return Timer.builder(PREFIX + name)
        .tag("rule", rule)
        .publishPercentileHistogram()
        .minimumExpectedValue(MIN_EXPECTED)
        .maximumExpectedValue(MAX_EXPECTED)
        .register(registry);
  }
}
