/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertSame;

import io.micrometer.core.instrument.Meter;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.concurrent.TimeUnit;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.overload.GatheredCapacity;
import org.larkkeel.relay.AnswerEnd;
import org.larkkeel.relay.AnswerFraming;
import org.larkkeel.relay.AnswerGrade;
import org.larkkeel.relay.CallRank;
import org.larkkeel.relay.RelayFact;
import org.larkkeel.relay.UpstreamPath;
import org.larkkeel.store.EntryProblem;
import org.testng.annotations.Test;

/** Tests of {@link RelayMeters}. */
public class RelayMetersTest {
  private static final UpstreamName UPSTREAM = new UpstreamName("u");

  private static RelayFact.Answered answered(String rule, long firstMillis, boolean onTarget) {
    long first = TimeUnit.MILLISECONDS.toNanos(firstMillis);
    return new RelayFact.Answered(
        "call", new AttemptId(1), UPSTREAM, rule, AnswerGrade.GOOD, first, first, onTarget);
  }

  private static double calls(PrometheusMeterRegistry registry, String rule, String outcome) {
    return registry
        .get("larkkeel.relay.calls")
        .tags("rule", rule, "outcome", outcome)
        .counter()
        .count();
  }

  /** Counters. */
  public static class Counts {
    @Test
    public void addUpByRuleAndOutcome() {
      PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
      RelayMeters meters = new RelayMeters(registry);
      meters.accept(answered("a", 10, true));
      meters.accept(answered("a", 20, true));
      meters.accept(answered("a", 30, false));
      meters.accept(answered("b", 40, true));
      meters.accept(new RelayFact.Refused("call", "a", ErrorKind.OVERLOADED, "", false, 0, 0, 1));
      assertEquals(calls(registry, "a", "on_target"), 2.0);
      assertEquals(calls(registry, "a", "late"), 1.0);
      assertEquals(calls(registry, "b", "on_target"), 1.0);
      assertEquals(calls(registry, "a", ErrorKind.OVERLOADED.slug()), 1.0);
    }

    @Test
    public void ofEndedAnswersAddUpByPathFramingAndEnd() {
      PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
      new RelayMeters(registry)
          .accept(
              new RelayFact.AnswerEnded(
                  "c",
                  new AttemptId(1),
                  UPSTREAM,
                  UpstreamPath.DIRECT,
                  "10.1.64.9:8080",
                  AnswerFraming.CONNECTION,
                  7,
                  AnswerEnd.UPSTREAM_ENDED,
                  8_000_000));
      assertEquals(
          registry
              .get("larkkeel.relay.answers.ended")
              .tags("path", "direct", "framing", "connection", "end", "upstream_ended")
              .counter()
              .count(),
          1.0);
    }

    @Test
    public void ofContinuedWaitsAddUp() {
      PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
      RelayMeters meters = new RelayMeters(registry);
      meters.accept(new RelayFact.WaitContinued("c", "model", 5_000, 8_000_000));
      assertEquals(registry.get("larkkeel.relay.waits.continued").counter().count(), 1.0);
    }

    @Test
    public void ofDedicatedEnginesAddUpByReason() {
      PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
      RelayMeters meters = new RelayMeters(registry);
      UpstreamName engine = new UpstreamName("u");
      meters.accept(new RelayFact.EngineDedicated("c", "model", CallRank.LOWEST, engine, 7, 1));
      meters.accept(
          new RelayFact.DedicationEnded(
              "c", "model", engine, GatheredCapacity.EndReason.PLACED, 8_000_000));
      assertEquals(registry.get("larkkeel.relay.dedications").counter().count(), 1.0);
      assertEquals(
          registry
              .get("larkkeel.relay.dedications.ended")
              .tags("service", "model", "reason", "placed")
              .counter()
              .count(),
          1.0);
    }

    @Test
    public void ofWaitingCallsAddUpByRankWithBoundedLabels() {
      PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
      RelayMeters meters = new RelayMeters(registry);
      for (int i = 0; i < 100; i++) {
        CallRank rank = new CallRank(i, 2);
        meters.accept(new RelayFact.Waiting("call", "model", rank, 5_000, 1));
        meters.accept(new RelayFact.Waiting("call", "model", new CallRank(0, 2), 5_000, 1));
      }
      assertEquals(
          registry
              .get("larkkeel.relay.waiting")
              .tags("service", "model", "rank", "0.2")
              .counter()
              .count(),
          101.0);
      assertEquals(registry.get("larkkeel.relay.waiting").counters().size(), 33);
    }

    @Test
    public void ofUnreadableEntriesAddUpByReason() {
      PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
      RelayMeters meters = new RelayMeters(registry);
      meters.unreadable("servers", EntryProblem.Reason.MISSING);
      meters.unreadable("servers", EntryProblem.Reason.MISSING);
      meters.unreadable("servers", EntryProblem.Reason.WRONG_TYPE);
      assertEquals(
          registry
              .get("larkkeel.relay.entries.unreadable")
              .tags("collection", "servers", "reason", "missing")
              .counter()
              .count(),
          2.0);
    }
  }

  /** Timers. */
  public static class Times {
    @Test
    public void ofOneRuleShareOneMeter() {
      PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
      RelayMeters meters = new RelayMeters(registry);
      meters.accept(answered("a", 30, true));
      Timer first = registry.get("larkkeel.relay.first").tag("rule", "a").timer();
      meters.accept(answered("a", 300, true));
      meters.accept(answered("b", 300, true));
      assertSame(registry.get("larkkeel.relay.first").tag("rule", "a").timer(), first);
      assertEquals(first.count(), 2);
      assertEquals(first.totalTime(TimeUnit.MILLISECONDS), 330.0, 0.1);
      assertEquals(registry.get("larkkeel.relay.first").tag("rule", "b").timer().count(), 1);
    }

    @Test
    public void areNotMixedWithOthersOfThatRule() {
      PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
      RelayMeters meters = new RelayMeters(registry);
      meters.accept(answered("all", 30, true));
      meters.accept(new RelayFact.PromptRead("call", new AttemptId(1), UPSTREAM, 1));
      Meter prompt = registry.get("larkkeel.relay.prompt").tag("rule", "all").meter();
      assertEquals(((Timer) prompt).count(), 1);
      assertEquals(registry.get("larkkeel.relay.whole").tag("rule", "all").timer().count(), 1);
    }
  }

  /** Counters of decisions on forecasts. */
  public static class Overload {
    /** Guards against decisions that operators cannot see. */
    @Test
    public void countsDecisionsAndPromises() {
      PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
      RelayMeters meters = new RelayMeters(registry);
      meters.accept(
          new RelayFact.OverloadDecided(
              "call", "model", "2.2", RelayFact.OverloadDecided.Decision.REJECT, 1, 2, 3));
      meters.accept(
          new RelayFact.ReturnPromise("call", "model", RelayFact.ReturnPromise.Change.PROMISED));
      assertEquals(
          registry
              .get("larkkeel.relay.overload")
              .tags("service", "model", "decision", "reject")
              .counter()
              .count(),
          1.0);
      assertEquals(
          registry
              .get("larkkeel.relay.returns")
              .tags("service", "model", "change", "promised")
              .counter()
              .count(),
          1.0);
    }
  }
}
