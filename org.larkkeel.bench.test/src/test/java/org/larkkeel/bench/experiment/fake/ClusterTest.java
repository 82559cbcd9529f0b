/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.fake;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.larkkeel.bench.experiment.Scenarios;
import org.larkkeel.bench.experiment.fake.Ledger.Violation;
import org.larkkeel.bench.experiment.policy.NaiveRouter;
import org.larkkeel.bench.experiment.policy.RoutingPolicy;
import org.larkkeel.bench.experiment.policy.SelectionStrategy;
import org.larkkeel.bench.experiment.scenario.Scenario;
import org.larkkeel.effect.Effect;
import org.larkkeel.effect.EffectSink;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.event.ClaimOutcome;
import org.larkkeel.event.Event;
import org.larkkeel.event.FailureCause;
import org.testng.annotations.Test;

/** Tests of the fakes through {@link Cluster}. */
public class ClusterTest {
  private static final String ENGINES =
      Scenarios.prefill("p", 1, 10_000) + "," + Scenarios.decode("d", 1, 4, 10, 5);
  private static final String COMPLETIONS =
      Scenarios.completions("{\"fixed\": 1000}", "{\"fixed\": 20}", 5_000, "");
  private static final String PLAIN_CALLS =
      """
      {"name": "order", "plain": true, "requestsPerSecond": 20, "firstTokenMillis": 250,
       "deadlineMillis": 2000, "nonIdempotentShare": 1, "repeatShare": 0.5}
      """;

  private static RoutingPolicy naiveRouter() {
    return new NaiveRouter(SelectionStrategy.LEAST_OUTSTANDING, 1);
  }

  /** Returns a naive router whose effects are replaced by those of a function. */
  private static RoutingPolicy withChangedEffects(Function<Effect, List<Effect>> change) {
    RoutingPolicy naive = naiveRouter();
    return (event, sink) -> naive.apply(event, e -> change.apply(e).forEach(sink::accept));
  }

  /** The ledger detects routers that violate guarantees. */
  public static class Violations {
    private static Ledger run(Function<Effect, List<Effect>> change) {
      return Scenarios.run(
          Scenarios.of("3", ENGINES, COMPLETIONS, ""), 3, 1, withChangedEffects(change));
    }

    @Test
    public void correctRoutersHaveNone() {
      assertTrue(run(List::of).violations().isEmpty());
    }

    @Test
    public void refusalsAsNotRunAfterRunsAreCounted() {
      Ledger ledger =
          run(
              e ->
                  e instanceof Effect.Complete c
                      ? List.of(new Effect.Refuse(c.request(), ErrorKind.OVERLOADED, 0, ""))
                      : List.of(e));
      assertTrue(ledger.violations().containsKey(Violation.RAN_THOUGH_TOLD_NOT_RUN));
    }

    @Test
    public void secondAnswersAreCounted() {
      Ledger ledger = run(e -> e instanceof Effect.Complete ? List.of(e, e) : List.of(e));
      assertTrue(ledger.violations().containsKey(Violation.ANSWERED_TWICE));
    }

    @Test
    public void missingAnswersAreCounted() {
      Ledger ledger = run(e -> e instanceof Effect.Complete ? List.of() : List.of(e));
      assertTrue(ledger.violations().containsKey(Violation.NEVER_ANSWERED));
    }

    @Test
    public void answersEndedEarlyAreCounted() {
      Ledger ledger =
          run(
              e ->
                  e instanceof Effect.StartDecode d
                      ? List.of(e, new Effect.Complete(d.request(), d.attempt()))
                      : List.of(e));
      assertTrue(ledger.violations().containsKey(Violation.ANSWER_CUT));
    }

    @Test
    public void slotsThatAreNeverReleasedAreCounted() {
      Ledger ledger = run(e -> e instanceof Effect.StartDecode ? List.of() : List.of(e));
      // The naive router cancels at the deadline; without cancels the import is never released.
      assertTrue(!ledger.violations().containsKey(Violation.STILL_HELD));
      Ledger leaking =
          run(
              e ->
                  e instanceof Effect.StartDecode || e instanceof Effect.Cancel
                      ? List.of()
                      : List.of(e));
      assertTrue(leaking.violations().containsKey(Violation.STILL_HELD));
    }

    @Test
    public void secondRunsOfOneKeyAreCounted() {
      Scenario scenario = Scenarios.of("5", Scenarios.service(2, 5), PLAIN_CALLS, "");
      assertTrue(Scenarios.run(scenario, 0, 1, naiveRouter()).violations().isEmpty());
      Ledger ledger = Scenarios.run(scenario, 0, 1, new AcceptingAllClaims());
      assertTrue(ledger.violations().containsKey(Violation.RAN_TWICE));
    }
  }

  /** Treats every claim of a run as successful. */
  private static final class AcceptingAllClaims implements RoutingPolicy {
    private final RoutingPolicy naive = naiveRouter();

    @Override
    public void apply(Event event, EffectSink sink) {
      Event seen =
          event instanceof Event.ClaimSettled c
              ? new Event.ClaimSettled(c.at(), c.attempt(), ClaimOutcome.CLAIMED)
              : event;
      naive.apply(seen, sink);
    }
  }

  /** Behaviour of the fakes. */
  public static class Fakes {
    private static List<Event> events(Scenario scenario, double perSecond) {
      List<Event> seen = new ArrayList<>();
      RoutingPolicy naive = naiveRouter();
      Scenarios.run(
          scenario,
          perSecond,
          1,
          (event, sink) -> {
            seen.add(event);
            naive.apply(event, sink);
          });
      return seen;
    }

    private static long count(List<Event> events, FailureCause cause) {
      return events.stream()
          .filter(e -> e instanceof Event.AttemptFailed f && f.cause() == cause)
          .count();
    }

    @Test
    public void fullDecodeEnginesRefuse() {
      String slow = Scenarios.prefill("p", 1, 1e6) + "," + Scenarios.decode("d", 1, 1, 100, 0);
      List<Event> events = events(Scenarios.of("3", slow, COMPLETIONS, ""), 10);
      assertTrue(count(events, FailureCause.NO_SLOT) > 0);
    }

    @Test
    public void killedEnginesBreakStreamsAndGetNewIncarnations() {
      String kill =
          """
          {"type": "kill", "upstream": "d-0", "atSeconds": 1, "forSeconds": 1}
          """;
      List<Event> events = events(Scenarios.of("4", ENGINES, COMPLETIONS, kill), 8);
      assertTrue(count(events, FailureCause.CONNECTION_LOST) > 0);
      assertTrue(
          events.stream()
              .anyMatch(
                  e ->
                      e instanceof Event.LoadReported r
                          && r.upstream().value().equals("d-0")
                          && r.report().incarnation().value() == 2));
    }

    @Test
    public void frozenEnginesDelayTokens() {
      String freeze =
          """
          {"type": "freeze", "upstream": "d-0", "atSeconds": 1, "forSeconds": 2}
          """;
      String longer = Scenarios.completions("{\"fixed\": 100}", "{\"fixed\": 60}", 5_000, "");
      Scenario smooth = Scenarios.of("1.2", ENGINES, longer, "");
      Scenario frozen = Scenarios.of("1.2", ENGINES, longer, freeze);
      assertTrue(maxLatency(smooth) < 2 * Scenario.NANOS_PER_SECOND);
      assertTrue(maxLatency(frozen) > 2 * Scenario.NANOS_PER_SECOND);
    }

    private static long maxLatency(Scenario scenario) {
      Ledger ledger = Scenarios.run(scenario, 3, 2, naiveRouter());
      return ledger.arrivals().stream()
          .mapToLong(a -> ledger.outcomeOf(a).endAt() - a.at())
          .max()
          .orElseThrow();
    }

    @Test
    public void transfersShareLinks() {
      Timeline time = new Timeline(0);
      Link source = new Link(time, 100);
      Link target = new Link(time, 1000);
      List<Long> ends = new ArrayList<>();
      new Link.Transfer(source, target, 100, () -> ends.add(time.now()));
      new Link.Transfer(source, target, 200, () -> ends.add(time.now()));
      time.runUntil(10 * Scenario.NANOS_PER_SECOND);
      assertEquals(ends, List.of(2 * Scenario.NANOS_PER_SECOND, 3 * Scenario.NANOS_PER_SECOND));
    }

    @Test
    public void kvCachesAreEvictedAfterTheHoldTime() {
      assertEquals(evictionsWithTransferDelay(700), 0);
      assertTrue(evictionsWithTransferDelay(900) > 0);
    }

    /** Returns the number of evicted KV caches if transfers start so long after the prefill. */
    private static int evictionsWithTransferDelay(long millis) {
      Scenario scenario = Scenarios.of("3", ENGINES, COMPLETIONS, "");
      RoutingPolicy naive = naiveRouter();
      List<Effect> waiting = new ArrayList<>();
      Ledger ledger =
          Scenarios.run(
              scenario,
              1,
              1,
              (event, sink) -> {
                if (event instanceof Event.Ticked && !waiting.isEmpty()) {
                  sink.accept(waiting.removeFirst());
                } else {
                  naive.apply(event, e -> delay(e, event.at() + millis * 1_000_000, waiting, sink));
                }
              });
      return ledger.evictions();
    }

    private static void delay(Effect effect, long until, List<Effect> waiting, EffectSink sink) {
      if (effect instanceof Effect.StartTransfer) {
        waiting.add(effect);
        sink.accept(new Effect.Wake(until));
      } else if (!(effect instanceof Effect.Wake)) {
        sink.accept(effect);
      }
    }
  }
}
